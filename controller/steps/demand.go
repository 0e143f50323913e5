package steps

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
)

// demandPrefix begins the keys of the rows that tell what the steps of a model
// bring; they stand in the table that all instances share.
const demandPrefix = "demand/"

// demandMemory is the weight of what was known before a step.
const demandMemory = 0.8

// demandRow is the work of one step of a model, as a mean over the last ones.
type demandRow struct {
	// Tokens is what its samples are estimated to generate.
	Tokens float64 `json:"tokens"`
}

// noteDemand adds a step to the demand of its model. A lost write costs nothing
// but accuracy.
func (c *Controller) noteDemand(ctx context.Context, spec durable.Spec) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := demandPrefix + spec.Model
	var row demandRow
	version, err := infra.GetJSON(ctx, c.o.Shared, key, &row)
	if err != nil {
		c.o.Log.Debug("demand not read", "model", spec.Model, "error", err)
		return
	}
	tokens := tokensOf(spec)
	if version > 0 {
		tokens = demandMemory*row.Tokens + (1-demandMemory)*tokens
	}
	if err := c.o.Shared.Commit(ctx, infra.PutJSON(key, version, demandRow{tokens})); err != nil {
		c.o.Log.Debug("demand not written", "model", spec.Model, "error", err)
	}
}

// tokensOf estimates what a step's samples generate. Samples without an estimate
// count as one.
func tokensOf(spec durable.Spec) float64 {
	sum := 0.0
	for _, s := range spec.Samples {
		sum += float64(max(s.Length, 1))
	}
	return sum
}

// Demand reads the work that the steps of each model bring, in tokens.
func (c *Controller) Demand(ctx context.Context) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := c.o.Shared.List(ctx, demandPrefix, "", page)
	if err != nil {
		return nil, err
	}
	demand := make(map[string]float64, len(rows))
	for _, r := range rows {
		var row demandRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			return nil, fmt.Errorf("decode %s: %w", r.Key, err)
		}
		demand[strings.TrimPrefix(r.Key, demandPrefix)] = row.Tokens
	}
	return demand, nil
}
