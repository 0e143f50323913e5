package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/tailscale/hujson"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/config"
)

// statusPoll is the period at which the status is polled until a change is in
// force.
const statusPoll = 200 * time.Millisecond

// commitFlags are shared by the commands that change the configuration.
type commitFlags struct {
	dryRun bool
	wait   time.Duration
}

func (f *commitFlags) bind(cmd *kingpin.CmdClause) {
	cmd.Flag("dry-run", "Only show what would change.").BoolVar(&f.dryRun)
	cmd.Flag("wait", "Time to wait for the change to be in force everywhere.").Default("0s").DurationVar(&f.wait)
}

type apply struct {
	commitFlags
	file      string
	expect    uint64
	hasExpect bool
}

func newApply(app *kingpin.Application) *apply {
	a := &apply{}
	cmd := app.Command("apply", `Creates or changes the objects in a file.

The file is JSON with comments and contains any of "teams", "keys", "services",
"endpoints" and "members", each a list of objects. Objects that are not in the
file are not changed. The file is applied as one atomic change, and applying it
again has no further effect.`)
	cmd.Flag("file", "File to apply; - is standard input.").Short('f').Required().StringVar(&a.file)
	cmd.Flag("expect", "Refuse the change unless the configuration has this version.").IsSetByUser(&a.hasExpect).Uint64Var(&a.expect)
	a.bind(cmd)
	return a
}

func (a *apply) run(ctx context.Context, s *session) error {
	put, err := readObjects(a.file, s.Stdin)
	if err != nil {
		return err
	}
	req := api.ChangeRequest{Put: put, DryRun: a.dryRun}
	if a.hasExpect {
		req.Expected = &a.expect
	}
	return s.commit(ctx, req, a.commitFlags)
}

// readObjects reads a deployment file.
func readObjects(path string, stdin io.Reader) (config.Objects, error) {
	var (
		put  config.Objects
		data []byte
		err  error
	)
	if path == "-" || path == "" { // the flag parser passes a single dash as an empty string
		path = "standard input"
		data, err = io.ReadAll(stdin)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return put, fmt.Errorf("%w: %w", errUsage, err)
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return put, fmt.Errorf("%w: %s: %w", errUsage, path, err)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&put); err != nil {
		// Standardize preserves offsets, so the line number is that of the file.
		line := 1 + bytes.Count(plain[:dec.InputOffset()], []byte("\n"))
		return put, fmt.Errorf("%w: %s: near line %d: %w", errUsage, path, line, err)
	}
	return put, nil
}

// commit sends a change and prints its outcome. If f.wait is set, it waits until
// the change is in force everywhere.
func (s *session) commit(ctx context.Context, req api.ChangeRequest, f commitFlags) error {
	resp, err := callAnyServer(ctx, s, func(ctx context.Context, c *api.Client) (api.ChangeResponse, error) {
		return c.Change(ctx, req)
	})
	if err != nil {
		return err
	}
	if resp.Committed && !resp.InForce && f.wait > 0 {
		resp.InForce = s.waitInForce(ctx, resp.Version, f.wait)
	}
	if err := s.out.lines(resp, append(resp.Diff, outcome(resp, req.DryRun))...); err != nil {
		return err
	}
	if resp.Committed && !resp.InForce && f.wait > 0 {
		return errNotInForce
	}
	return nil
}

func outcome(r api.ChangeResponse, dryRun bool) string {
	switch {
	case len(r.Diff) == 0:
		return fmt.Sprintf("nothing to change; version %d", r.Version)
	case dryRun:
		return fmt.Sprintf("dry run: nothing changed; version %d", r.Version)
	case !r.Committed:
		return fmt.Sprintf("not committed; version %d", r.Version)
	case r.InForce:
		return fmt.Sprintf("version %d is committed and in force everywhere", r.Version)
	case len(r.Missing) > 0:
		return fmt.Sprintf("version %d is committed; not yet confirmed by %s", r.Version, strings.Join(r.Missing, ", "))
	default:
		return fmt.Sprintf("version %d is committed; not yet in force everywhere", r.Version)
	}
}

// waitInForce polls the status until the version is in force everywhere or wait
// has passed, and reports whether it is in force. A failed poll is ignored.
func (s *session) waitInForce(ctx context.Context, version uint64, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		st, err := s.status(ctx)
		if err == nil && st.InForce >= version {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(statusPoll):
		}
	}
}
