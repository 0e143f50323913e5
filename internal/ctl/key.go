package ctl

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cumincove/cumincove/api"
)

type keyCreate struct {
	name   string
	team   string
	labels map[string]string
}

func newKeyCreate(parent *kingpin.CmdClause) *keyCreate {
	k := &keyCreate{labels: map[string]string{}}
	cmd := parent.Command("create", "Creates a key for a team and prints it. It is not shown again: only its digest is stored.")
	cmd.Arg("name", "Name of the key.").Required().StringVar(&k.name)
	cmd.Flag("team", "Team that the key belongs to.").Required().StringVar(&k.team)
	cmd.Flag("label", "Label of the key, as NAME=VALUE; repeatable.").StringMapVar(&k.labels)
	return k
}

func (k *keyCreate) run(ctx context.Context, s *session) error {
	req := api.KeyRequest{Name: k.name, Team: k.team, Labels: k.labels}
	resp, err := callAnyServer(ctx, s, func(ctx context.Context, c *api.Client) (api.KeyResponse, error) {
		return c.CreateKey(ctx, req)
	})
	if err != nil {
		return err
	}
	return s.out.lines(resp, resp.Key)
}

type keyWithdraw struct {
	name string
}

func newKeyWithdraw(parent *kingpin.CmdClause) *keyWithdraw {
	k := &keyWithdraw{}
	cmd := parent.Command("withdraw", `Withdraws a key permanently and stops the requests that use it.

The withdrawal is in force as soon as the instances have received it, even while
the platform's store is down. It is durable once it is committed to the store.`)
	cmd.Arg("name", "Name of the key.").Required().StringVar(&k.name)
	return k
}

func (k *keyWithdraw) run(ctx context.Context, s *session) error {
	resp, err := callAnyServer(ctx, s, func(ctx context.Context, c *api.Client) (api.WithdrawResponse, error) {
		return c.WithdrawKey(ctx, k.name)
	})
	if err != nil {
		return err
	}
	line := fmt.Sprintf("key %s: in force %s, durable %s, copied %s",
		resp.Name, yesNo(resp.InForce), yesNo(resp.Durable), yesNo(resp.Copied))
	if err := s.out.lines(resp, line); err != nil {
		return err
	}
	if !resp.InForce {
		return errNotInForce
	}
	return nil
}
