package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/configstore"
	"github.com/dalebend/dalebend/internal/fleetdelta"
	"github.com/dalebend/dalebend/internal/fleetfile"
	"github.com/dalebend/dalebend/internal/objectapi"
	"github.com/dalebend/dalebend/internal/settings"
)

// largeRemoval is the share of a list whose removal needs a flag: one in so many.
const largeRemoval = 5

// readFile reads and checks a fleet file.
func readFile(path string) ([]byte, *fleetfile.File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errBadFile, err)
	}
	f, err := fleetfile.Parse(b)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %s:\n%w", errBadFile, path, err)
	}
	return b, f, nil
}

// validated is the result of validate.
type validated struct {
	File           string `json:"file"`
	Name           string `json:"name"`
	BackendServers int    `json:"backend_servers"`
	ClientAccounts int    `json:"client_accounts"`
	Models         int    `json:"models"`
}

func (v *validated) text(w io.Writer) {
	fmt.Fprintf(w, "%s: fleet %s is well-formed: %d backend servers, %d client accounts, %d models\n",
		v.File, v.Name, v.BackendServers, v.ClientAccounts, v.Models)
}

func (c *Command) validate(cmd *settings.FileCmd) (result, error) {
	_, f, err := readFile(cmd.File)
	if err != nil {
		return nil, err
	}
	return &validated{
		File: cmd.File, Name: f.Name, BackendServers: len(f.BackendServers),
		ClientAccounts: len(f.ClientAccounts), Models: len(f.Models),
	}, nil
}

// changes is the result of diff.
type changes struct {
	From    uint64   `json:"from_version"`
	Changes []string `json:"changes"`
}

func (r *changes) text(w io.Writer) {
	if len(r.Changes) == 0 {
		fmt.Fprintf(w, "no change from version %d\n", r.From)
		return
	}
	fmt.Fprintf(w, "changes from version %d:\n", r.From)
	for _, line := range r.Changes {
		fmt.Fprintf(w, "  %s\n", line)
	}
}

func (c *Command) diff(cmd *settings.FileCmd) (result, error) {
	_, f, err := readFile(cmd.File)
	if err != nil {
		return nil, err
	}
	state, err := c.current()
	if err != nil {
		return nil, err
	}
	return diffFrom(state, f)
}

// current returns the newest accepted state, or nil before the first apply.
func (c *Command) current() (*fleetdelta.State, error) {
	p, _, err := c.store.Current()
	if err != nil || p.Version == 0 {
		return nil, err
	}
	content, err := c.store.Content(p.Content)
	if err != nil {
		return nil, err
	}
	f, err := fleetfile.Parse([]byte(content.YAML))
	if err != nil {
		return nil, fmt.Errorf("accepted version %d: %w", p.Version, err)
	}
	return fleetdelta.FromFile(p.Version, f)
}

func diffFrom(old *fleetdelta.State, f *fleetfile.File) (*changes, error) {
	var version uint64
	if old != nil {
		version = old.Version()
	}
	next, err := fleetdelta.FromFile(version+1, f)
	if err != nil {
		return nil, err
	}
	delta := next.Since(old)
	return &changes{From: version, Changes: delta.Changes(old)}, nil
}

// applied is the result of apply, rollback and drain.
type applied struct {
	Version uint64   `json:"version"`
	Changes []string `json:"changes"`
	// InForce and Boxes are given by --wait.
	InForce int           `json:"in_force,omitempty"`
	Boxes   int           `json:"boxes,omitempty"`
	Took    time.Duration `json:"took_ns,omitempty"`
}

func (r *applied) text(w io.Writer) {
	fmt.Fprintf(w, "accepted as version %d, %d changes\n", r.Version, len(r.Changes))
	if r.Boxes > 0 {
		fmt.Fprintf(w, "in force on %d of %d boxes after %s\n", r.InForce, r.Boxes, r.Took.Round(time.Millisecond))
	}
}

func (c *Command) apply(ctx context.Context, cmd *settings.ApplyCmd) (result, error) {
	b, f, err := readFile(cmd.File)
	if err != nil {
		return nil, err
	}
	old, err := c.current()
	if err != nil {
		return nil, err
	}
	if err := checkRemoval(old, f); err != nil && !cmd.AllowRemoval {
		return nil, err
	}
	expect := uint64(0)
	if old != nil {
		expect = old.Version()
	}
	if cmd.Expect >= 0 {
		expect = uint64(cmd.Expect)
	}
	r, err := c.accept(b, f, old, expect)
	if err != nil || !cmd.Wait {
		return resultOrNil(r), err
	}
	return r, c.waitInForce(ctx, r, cmd.Timeout)
}

// resultOrNil keeps a missing result from looking present.
func resultOrNil(r *applied) result {
	if r == nil {
		return nil
	}
	return r
}

// accept applies a file; a conflict comes with what the other operator changed.
func (c *Command) accept(b []byte, f *fleetfile.File, old *fleetdelta.State, expect uint64) (*applied, error) {
	d, err := diffFrom(old, f)
	if err != nil {
		return nil, err
	}
	version, err := c.store.Apply(b, c.Settings.By, expect)
	var conflict *configstore.ConflictError
	if errors.As(err, &conflict) {
		return nil, c.explainConflict(conflict, f)
	}
	if err != nil {
		return nil, err
	}
	return &applied{Version: version, Changes: d.Changes}, nil
}

// explainConflict adds the difference between the file and what is accepted now.
func (c *Command) explainConflict(conflict *configstore.ConflictError, f *fleetfile.File) error {
	now, err := c.current()
	if err != nil {
		return conflict
	}
	d, err := diffFrom(now, f)
	if err != nil {
		return conflict
	}
	var b strings.Builder
	d.text(&b)
	return fmt.Errorf("%w; nothing was accepted. Against what is accepted now, this file makes these %s", conflict, b.String())
}

// checkRemoval refuses a file that removes a large part of the fleet by mistake.
func checkRemoval(old *fleetdelta.State, f *fleetfile.File) error {
	if old == nil {
		return nil
	}
	before, err := old.File()
	if err != nil {
		return err
	}
	servers := removed(before.Names(), f.Names())
	accounts := removed(before.AccountNames(), f.AccountNames())
	if largeRemoval*servers > len(before.BackendServers) || largeRemoval*accounts > len(before.ClientAccounts) {
		return fmt.Errorf("%w: it removes %d of %d backend servers and %d of %d client accounts; give --allow-removal if that is meant",
			errBadFile, servers, len(before.BackendServers), accounts, len(before.ClientAccounts))
	}
	return nil
}

// removed counts the names of before that are not in after.
func removed(before, after []string) int {
	have := make(map[string]bool, len(after))
	for _, n := range after {
		have[n] = true
	}
	gone := 0
	for _, n := range before {
		if !have[n] {
			gone++
		}
	}
	return gone
}

// accepted is the result of get.
type accepted struct {
	Version uint64    `json:"version"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	YAML    string    `json:"yaml"`
}

func (r *accepted) text(w io.Writer) { fmt.Fprint(w, r.YAML) }

func (c *Command) get(cmd *settings.GetCmd) (result, error) {
	content, err := c.version(cmd.Version)
	if err != nil {
		return nil, err
	}
	return &accepted{Version: content.Version, By: content.By, At: content.At, YAML: content.YAML}, nil
}

// version reads an accepted file, the newest for 0.
func (c *Command) version(version uint64) (configstore.Content, error) {
	if version > 0 {
		return c.store.Version(version)
	}
	p, _, err := c.store.Current()
	if err != nil {
		return configstore.Content{}, err
	}
	if p.Version == 0 {
		return configstore.Content{}, fmt.Errorf("nothing was applied yet: %w", objectapi.ErrNotFound)
	}
	return c.store.Content(p.Content)
}

// historyList is the result of history.
type historyList struct {
	Versions []accepted `json:"versions"`
}

func (r *historyList) text(w io.Writer) {
	for _, v := range r.Versions {
		fmt.Fprintf(w, "%6d  %s  %s  %d bytes\n", v.Version, v.At.Format(time.RFC3339), v.By, len(v.YAML))
	}
}

func (c *Command) history(cmd *settings.HistoryCmd) (result, error) {
	contents, err := c.store.History(cmd.Limit)
	if err != nil {
		return nil, err
	}
	list := &historyList{Versions: []accepted{}}
	for _, v := range contents {
		list.Versions = append(list.Versions, accepted{Version: v.Version, By: v.By, At: v.At, YAML: v.YAML})
	}
	return list, nil
}

func (c *Command) rollback(cmd *settings.RollbackCmd) (result, error) {
	content, err := c.store.Version(cmd.Version)
	if err != nil {
		return nil, err
	}
	return c.acceptText([]byte(content.YAML))
}

// acceptText applies a file that was made here on top of the newest version.
func (c *Command) acceptText(b []byte) (result, error) {
	f, err := fleetfile.Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBadFile, err)
	}
	old, err := c.current()
	if err != nil {
		return nil, err
	}
	expect := uint64(0)
	if old != nil {
		expect = old.Version()
	}
	r, err := c.accept(b, f, old, expect)
	return resultOrNil(r), err
}

// drain accepts the newest file with one backend server's draining changed.
func (c *Command) drain(cmd *settings.DrainCmd) (result, error) {
	content, err := c.version(0)
	if err != nil {
		return nil, err
	}
	f, err := fleetfile.Parse([]byte(content.YAML))
	if err != nil {
		return nil, err
	}
	if !f.SetDraining(cmd.Server, !cmd.Undo) {
		return nil, fmt.Errorf("%w: there is no backend server %q", errUsage, cmd.Server)
	}
	b, err := fleetfile.Marshal(f)
	if err != nil {
		return nil, err
	}
	return c.acceptText(b)
}
