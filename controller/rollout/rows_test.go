package rollout

import (
	"errors"
	"testing"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/rollout"
)

// A former owner can write neither after a takeover, nor into a later step of
// the same ID.
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
		t.Errorf("write after a takeover: %v", err)
	}
	if err := r.remove(ctx, k, "m", v1+1); err != nil {
		t.Fatal(err)
	}
	again, v3, err := r.open(ctx, k, spec, ownerRow{Instance: "c", Epoch: 1, Nonce: "3"})
	if err != nil || again.Epoch != 3 {
		t.Fatalf("opened again: %+v, %v", again, err)
	}
	for _, old := range []uint64{v1, v1 + 1} {
		if err := r.putBatch(ctx, k, old, first.Epoch, batch); !errors.Is(err, infra.ErrConflict) {
			t.Errorf("write of owner row %d into the later step: %v", old, err)
		}
	}
	if err := r.putBatch(ctx, k, v3, again.Epoch, batch); err != nil {
		t.Error(err)
	}
	if _, _, err := r.open(ctx, k, spec, ownerRow{Instance: "d", Epoch: 1, Nonce: "4"}); !errors.Is(err, infra.ErrConflict) {
		t.Errorf("opened twice: %v", err)
	}
}
