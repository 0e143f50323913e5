package ledger

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func TestCursorText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Cursor
		want := map[int]bool{}
		for _, g := range rapid.SliceOf(rapid.IntRange(0, 9000)).Draw(t, "groups") {
			c = c.With(g)
			want[g] = true
		}
		got, err := ParseCursor(c.String())
		if err != nil || got.Len() != len(want) || got.String() != c.String() {
			t.Fatalf("parsed cursor %v, error %v, want the cursor that was written", got, err)
		}
		for g := range want {
			if !got.Has(g) || g >= got.limit() {
				t.Fatalf("group %d is missing", g)
			}
		}
	})
}

// TestBatchTokens checks that a batch ends with the group that reaches
// Config.BatchTokens.
func TestBatchTokens(t *testing.T) {
	l := New(Config{Groups: 5, GroupSize: 1, MaxGroups: 5, BatchSamples: 5, BatchTokens: 6})
	for g := range 5 {
		attempt, _ := l.PendingAttempt(Slot{Group: g})
		err := l.Fill(0, Sample{
			Slot: Slot{Group: g}, Attempt: attempt, Tokens: make([]int32, 3), Spans: []Span{{0, 3, 1}},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if b := l.Batch(0); b == nil || len(b.Samples) != 2 {
		t.Fatalf("batch %+v, want two samples", b)
	}
}

func TestBadCursors(t *testing.T) {
	for _, text := range []string{"!", "A", "==", "AQ=="} {
		if _, err := ParseCursor(text); !errors.Is(err, ErrCursor) {
			t.Errorf("cursor %q: got %v, want ErrCursor", text, err)
		}
	}
	l := New(Config{Groups: 2, GroupSize: 1})
	if _, err := l.Pull(0, Cursor{}.With(2), 1); !errors.Is(err, ErrCursor) {
		t.Errorf("cursor with a group outside the step: got %v, want ErrCursor", err)
	}
	if _, err := l.Pull(0, Cursor{}.With(1), 1); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Pull(0, Cursor{}.With(0), 1); !errors.Is(err, ErrCursorBehind) {
		t.Errorf("superseded cursor: got %v, want ErrCursorBehind", err)
	}
}
