package exchange

import "strings"

// tokenExtra holds the characters that RFC 9110, section 5.6.2, allows in a token besides letters
// and digits.
const tokenExtra = "!#$%&'*+-.^_`|~"

// isToken reports whether s is a method or header name of RFC 9110.
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return strings.IndexByte(tokenExtra, b) >= 0
	}
}

// isVisible reports whether s is non-empty and has neither blanks nor control
// characters, as a request target and a host must be.
func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return s != ""
}

// isFieldValue reports whether s has no control characters besides the tab.
func isFieldValue(s string) bool {
	for i := range len(s) {
		if (s[i] < ' ' && s[i] != '\t') || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// hasListToken reports whether one of the comma-separated values names token,
// whatever its case.
func hasListToken(values []string, token string) bool {
	for _, v := range values {
		for item := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(item), token) {
				return true
			}
		}
	}
	return false
}
