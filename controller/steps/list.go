package steps

import (
	"context"
	"fmt"

	"github.com/cumincove/cumincove/infra"
)

// Info is a summary of a step's rows.
type Info struct {
	ID          string `json:"id"`
	Team        string `json:"team"`
	Model       string `json:"model"`
	Samples     int    `json:"samples"`
	Results     int    `json:"results"`
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
	Ended       bool   `json:"ended"`
}

// List reads the steps in the store, including ended ones, in order of ID.
func List(ctx context.Context, tables infra.Tables) ([]Info, error) {
	var list []Info
	for after := ""; ; {
		names, err := tables.Parts(ctx, after, maxPage)
		if err != nil {
			return nil, fmt.Errorf("list steps: %w", err)
		}
		for _, id := range names {
			info, found, err := readInfo(ctx, tables.Part(id), id)
			if err != nil {
				return nil, fmt.Errorf("read step %s: %w", id, err)
			}
			if found {
				list = append(list, info)
			}
			after = id
		}
		if len(names) < maxPage {
			return list, nil
		}
	}
}

func readInfo(ctx context.Context, t infra.Table, id string) (info Info, found bool, err error) {
	s, err := readState(ctx, t)
	if err != nil || !s.accepted() {
		return Info{}, false, err
	}
	results, err := readAllResults(ctx, t)
	if err != nil {
		return Info{}, false, err
	}
	return Info{
		ID: id, Team: s.head.Team, Model: s.head.Model, Samples: s.head.Total, Results: len(results),
		Owner: s.owner.Instance, Incarnation: s.owner.Incarnation, Ended: s.ended,
	}, true, nil
}
