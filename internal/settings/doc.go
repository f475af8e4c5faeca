package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Document returns docs/SETTINGS.md with every setting of every program, generated from the
// declarations.
func Document() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nEvery setting is a flag and, where a variable is named, an environment variable;\n" +
		"the flag goes first. This page is written from the code (`internal/settings`) and\nchecked against it by a test.\n")
	for _, p := range []struct {
		name  string
		value any
	}{
		{"dalebend-box", Box{}},
		{"dalebend-router", Router{}},
		{"dalebend-controller", Controller{}},
		{"dalebendctl", Ctl{}},
		{"dalebend-local", Local{}},
		{"dalebend-load", Load{}},
		{"dalebend-standin", Standin{}},
		{"dalebend-soak", Soak{}},
	} {
		fmt.Fprintf(&b, "\n## %s\n\n| flag | variable | default | meaning |\n|---|---|---|---|\n", p.name)
		documentFields(&b, reflect.TypeOf(p.value), "")
	}
	return b.String()
}

// documentFields writes a row for each field, with those of embedded groups and subcommands.
func documentFields(b *strings.Builder, t reflect.Type, command string) {
	for i := range t.NumField() {
		f := t.Field(i)
		tag := f.Tag.Get("arg")
		switch {
		case f.Anonymous:
			documentFields(b, f.Type, command)
		case strings.HasPrefix(tag, "subcommand:"):
			name := strings.TrimPrefix(tag, "subcommand:")
			fmt.Fprintf(b, "| `%s` | | | %s |\n", name, f.Tag.Get("help"))
			documentFields(b, f.Type.Elem(), name+" ")
		default:
			documentField(b, f, tag, command)
		}
	}
}

func documentField(b *strings.Builder, f reflect.StructField, tag, command string) {
	flag, variable := "", ""
	for part := range strings.SplitSeq(tag, ",") {
		switch {
		case strings.HasPrefix(part, "--"):
			flag = part
		case part == "positional":
			flag = strings.ToUpper(f.Name)
		case strings.HasPrefix(part, "env:"):
			variable = "`" + strings.TrimPrefix(part, "env:") + "`"
		}
	}
	fallback := f.Tag.Get("default")
	if strings.Contains(tag, "required") {
		fallback = "needed"
	}
	fmt.Fprintf(b, "| `%s%s` | %s | %s | %s |\n", command, flag, variable, fallback, f.Tag.Get("help"))
}
