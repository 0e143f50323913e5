package rollout

import (
	"context"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/rollout"
)

// maxTransfers bounds the concurrent KV cache transfers of this instance,
// because KV caches are large. A stream beyond the bound is resumed from its
// tokens.
const maxTransfers = 2

// transferKV copies the KV cache of the stream that a continues to the engine
// at t, and returns the handle of the copy. It returns "" if the transfer is not
// possible, or if the cache covers tokens other than those received or was
// computed with other weights.
func (w *worker) transferKV(ctx context.Context, a rollout.Start, t target) string {
	if a.From.Run == "" || len(a.Request.Resume) == 0 || t.previousAddr == "" {
		return ""
	}
	select {
	case w.c.transfers <- struct{}{}:
		defer func() { <-w.c.transfers }()
	default:
		return ""
	}
	id := w.requestID(a.From.Run)
	kv, err := w.c.o.Engine.ExportKV(ctx, t.previousAddr, id)
	if err != nil || !kvMatches(kv, a.Request, t.version) {
		return ""
	}
	if err := w.c.o.Engine.ImportKV(ctx, t.addr, kv); err != nil {
		w.c.o.Log.Debug("KV cache not imported", "request", id, "error", err)
		return ""
	}
	w.c.o.Scope.Counter("rollout_kv_moved").Inc(1)
	return kv.Handle
}

// kvMatches reports whether a KV cache covers the tokens that r resumes from
// and was computed with the weight version.
func kvMatches(kv engine.KV, r engine.GenerateRequest, version uint64) bool {
	return kv.Handle != "" && len(kv.Tokens) == len(r.Resume) && kv.WeightVersion == version
}

// requestID returns the ID of a stream's request at the engine.
func (w *worker) requestID(id rollout.RunID) string {
	return w.key.team + "." + string(id)
}
