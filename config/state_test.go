package config

import (
	"errors"
	"testing"
)

const testDigest = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824"

func TestApplyKeepsWithdrawal(t *testing.T) {
	s := NewState()
	granted := Key{Meta: Meta{Name: "k"}, Team: "a", Digest: testDigest}
	withdrawn := granted
	withdrawn.Withdrawn = true
	for i, k := range []Key{granted, withdrawn, granted} {
		next, err := s.Apply(Change{
			Version: uint64(i) + 1,
			Put:     Objects{Teams: []Team{{Meta: Meta{Name: "a"}}}, Keys: []Key{k}},
		})
		if err != nil {
			t.Fatal(err)
		}
		s = next
	}
	if !s.Keys["k"].Withdrawn {
		t.Error("a later put cancelled the withdrawal of a key")
	}
}

func TestApplyRefusesGapAndInvalid(t *testing.T) {
	s := NewState()
	if _, err := s.Apply(Change{Version: 2}); !errors.Is(err, ErrVersionGap) {
		t.Errorf("gap: got %v", err)
	}
	bad := Change{Version: 1, Put: Objects{Keys: []Key{{Meta: Meta{Name: "k"}, Team: "none", Digest: "zz"}}}}
	_, err := s.Apply(bad)
	var ve *ValidationError
	if !errors.As(err, &ve) || len(ve.Faults) != 2 {
		t.Errorf("invalid: got %v, want two faults", err)
	}
}
