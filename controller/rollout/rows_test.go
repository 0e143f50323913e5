package rollout

import (
	"errors"
	"testing"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/rollout"
)

// TestFormerOwnerCannotWrite: the batches of a former owner are rejected after
// a takeover, and also after the step was removed and another one was opened
// with the same ID.
func TestFormerOwnerCannotWrite(t *testing.T) {
	ctx := t.Context()
	r := rows{fakeplatform.New(fakeplatform.Options{}).Platform().Table}
	k := stepKey{"celeste", "step-1"}
	spec := specRow{Spec: rollout.Spec{ID: k.id}}
	batch := &ledger.Batch{Seq: 1}

	first, v1, err := r.open(ctx, k, spec, ownerRow{Instance: "a", Epoch: 1, Nonce: "1"})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.putBatch(ctx, k, v1, first.Epoch, batch); err != nil {
		t.Fatal(err)
	}
	if err := r.takeOver(ctx, k, v1, ownerRow{Instance: "b", Epoch: 2, Nonce: "2"}); err != nil {
		t.Fatal(err)
	}
	if err := r.putBatch(ctx, k, v1, first.Epoch, batch); !errors.Is(err, infra.ErrConflict) {
		t.Errorf("write of the former owner after a takeover: got %v, want ErrConflict", err)
	}
	if err := r.remove(ctx, k, "m", v1+1); err != nil {
		t.Fatal(err)
	}
	again, v3, err := r.open(ctx, k, spec, ownerRow{Instance: "c", Epoch: 1, Nonce: "3"})
	if err != nil || again.Epoch != 3 {
		t.Fatalf("open after removal: got %+v, error %v, want epoch 3", again, err)
	}
	for _, old := range []uint64{v1, v1 + 1} {
		if err := r.putBatch(ctx, k, old, first.Epoch, batch); !errors.Is(err, infra.ErrConflict) {
			t.Errorf("write with owner row version %d into the later step: got %v, want ErrConflict", old, err)
		}
	}
	if err := r.putBatch(ctx, k, v3, again.Epoch, batch); err != nil {
		t.Error(err)
	}
	if _, _, err := r.open(ctx, k, spec, ownerRow{Instance: "d", Epoch: 1, Nonce: "4"}); !errors.Is(err, infra.ErrConflict) {
		t.Errorf("open of an existing step: got %v, want ErrConflict", err)
	}
}
