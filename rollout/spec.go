package rollout

import (
	"fmt"
	"hash/fnv"
	"net/url"
	"time"

	"github.com/cumincove/cumincove/ledger"
	"k8s.io/apimachinery/pkg/util/validation"
)

// Bounds of a Spec.
const (
	// MaxSlots bounds the samples of a step.
	MaxSlots = 1 << 16
	// MaxTokensPerSample bounds the tokens of a sample.
	MaxTokensPerSample = 1 << 17
)

// Spec is the trainer's definition of a step. It is immutable.
type Spec struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Prompts has one prompt for each group.
	Prompts []string `json:"prompts"`
	// Samples is the number of samples in a group.
	Samples   int    `json:"samples"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed,omitempty"`
	Adapter   string `json:"adapter,omitempty"`
	// MaxStaleness is the number of weight versions by which a sample may lag
	// the newest version at delivery.
	MaxStaleness uint64 `json:"max_staleness"`
	// DeadlineMillis is the time from the opening of the step after which no
	// more samples are generated, in milliseconds. Zero means no deadline.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
	// Scoring, if set, configures how groups are scored before delivery.
	Scoring *Scoring `json:"scoring,omitempty"`
}

// Scoring configures a scoring service.
type Scoring struct {
	// Service is a plain service that the trainer's team may call.
	Service string `json:"service"`
	// Path is the path of the service that groups are sent to. The default is
	// "/".
	Path string `json:"path,omitempty"`
	// TimeoutMillis bounds how long a complete group waits for its scores, in
	// milliseconds. After that it is delivered without scores. The default is
	// DefaultScoringTimeout.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
}

// DefaultScoringTimeout is the default of Scoring.TimeoutMillis.
const DefaultScoringTimeout = time.Minute

// Timeout returns the maximum time that a group waits for its scores.
func (s *Scoring) Timeout() time.Duration {
	if s.TimeoutMillis == 0 {
		return DefaultScoringTimeout
	}
	return time.Duration(s.TimeoutMillis) * time.Millisecond
}

func (s *Scoring) validate() error {
	switch {
	case s == nil:
		return nil
	case s.Service == "":
		return fmt.Errorf("scoring.service is missing")
	case s.Path != "" && !isPath(s.Path):
		return fmt.Errorf("scoring.path must be a path that begins with a slash")
	case s.TimeoutMillis < 0:
		return fmt.Errorf("scoring.timeout_ms must not be negative")
	}
	return nil
}

// Validate returns an error if the Spec is invalid.
func (s *Spec) Validate() error {
	if msgs := validation.IsDNS1123Subdomain(s.ID); len(msgs) > 0 {
		return fmt.Errorf("id: %s", msgs[0])
	}
	switch {
	case s.Service == "":
		return fmt.Errorf("service is missing")
	case len(s.Prompts) == 0 || s.Samples < 1:
		return fmt.Errorf("need at least one prompt and one sample a group")
	case s.Samples > MaxSlots || len(s.Prompts)*s.Samples > MaxSlots:
		return fmt.Errorf("more than %d samples", MaxSlots)
	case s.MaxTokens < 1 || s.MaxTokens > MaxTokensPerSample:
		return fmt.Errorf("max_tokens must be from 1 to %d", MaxTokensPerSample)
	case s.DeadlineMillis < 0:
		return fmt.Errorf("deadline_ms must not be negative")
	}
	return s.Scoring.validate()
}

func isPath(text string) bool {
	u, err := url.Parse(text)
	return err == nil && u.Path == text && text[0] == '/'
}

// Deadline returns the time from the opening of the step to its deadline; zero
// means no deadline.
func (s *Spec) Deadline() time.Duration {
	return time.Duration(s.DeadlineMillis) * time.Millisecond
}

// SlotSeed returns the seed of a slot. It is the same for all attempts, so that
// generating a sample again does not favour some samples over others.
func (s *Spec) SlotSeed(id ledger.Slot) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d/%d", s.ID, s.Seed, id.Group, id.Index)
	return h.Sum64()
}
