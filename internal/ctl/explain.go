package ctl

import (
	"context"
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cumincove/cumincove/code"
)

type explain struct {
	code string
}

func newExplain(app *kingpin.Application) *explain {
	e := &explain{}
	cmd := app.Command("explain", "Explains a result code, or lists all of them. Calls no instance.")
	cmd.Arg("code", "Number or name of a result code.").StringVar(&e.code)
	return e
}

func (e *explain) run(_ context.Context, s *session) error {
	var found []code.Info
	for _, info := range code.All() {
		if e.code == "" || e.code == strconv.Itoa(int(info.Number)) || e.code == info.Name {
			found = append(found, info)
		}
	}
	if len(found) == 0 {
		return fmt.Errorf("%w: no result code has the number or name %q", errUsage, e.code)
	}
	list := table{heading: []string{"CODE", "NAME", "STATUS", "EFFECT", "COME BACK", "MEANING"}}
	for _, info := range found {
		list.add(info.Number, info.Name, info.HTTPStatus, info.Effect, retryDelay(info), info.Help)
	}
	return s.out.print(found, list)
}

func retryDelay(info code.Info) string {
	if info.RetryAfter == 0 {
		return "no"
	}
	return info.RetryAfter.String()
}
