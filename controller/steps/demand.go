package steps

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
)

// demandPrefix is the prefix of the rows that contain the demand of a model's
// steps. The rows are in the table that all instances share.
const demandPrefix = "demand/"

// previousWeight is the weight of the previous mean when a step is added to it.
const previousWeight = 0.8

// demandRow is the mean work of the recent steps of a model.
type demandRow struct {
	// Tokens is the estimated number of tokens that a step's samples generate.
	Tokens float64 `json:"tokens"`
}

// recordDemand adds a step to the demand of its model. A failed write is not
// retried: it only makes the estimate less accurate.
func (c *Controller) recordDemand(ctx context.Context, spec durable.Spec) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := demandPrefix + spec.Model
	var row demandRow
	version, err := infra.GetJSON(ctx, c.o.Shared, key, &row)
	if err != nil {
		c.o.Log.Debug("demand not read", "model", spec.Model, "error", err)
		return
	}
	tokens := estimatedTokens(spec)
	if version > 0 {
		tokens = previousWeight*row.Tokens + (1-previousWeight)*tokens
	}
	if err := c.o.Shared.Commit(ctx, infra.PutJSON(key, version, demandRow{tokens})); err != nil {
		c.o.Log.Debug("demand not written", "model", spec.Model, "error", err)
	}
}

// estimatedTokens returns the estimated number of tokens that a step's samples
// generate. A sample without an estimate counts as one token.
func estimatedTokens(spec durable.Spec) float64 {
	sum := 0.0
	for _, s := range spec.Samples {
		sum += float64(max(s.Length, 1))
	}
	return sum
}

// Demand reads the mean work of a step of each model, in tokens.
func (c *Controller) Demand(ctx context.Context) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := c.o.Shared.List(ctx, demandPrefix, "", maxPage)
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
