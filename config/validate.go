package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"k8s.io/apimachinery/pkg/util/validation"
)

// digestBytes is the length of a SHA-256 digest, in bytes.
const digestBytes = 32

// ErrVersionGap is returned when a change does not directly follow the State.
var ErrVersionGap = errors.New("config: change does not follow this version")

// ValidationError lists all faults of a State.
type ValidationError struct {
	Faults []string
}

// Error joins the faults.
func (e *ValidationError) Error() string {
	return "config: " + strings.Join(e.Faults, "; ")
}

type faults []string

func (f *faults) add(format string, args ...any) {
	*f = append(*f, fmt.Sprintf(format, args...))
}

func (s *State) validate() error {
	var f faults
	for name, t := range s.Teams {
		f.checkMeta(KindTeam, name, t.Meta)
		if t.Weight < 0 {
			f.add("team %q: weight must not be negative", name)
		}
	}
	for name, k := range s.Keys {
		f.checkMeta(KindKey, name, k.Meta)
		s.checkKey(&f, name, k)
	}
	for name, v := range s.Services {
		f.checkMeta(KindService, name, v.Meta)
		s.checkService(&f, name, v)
	}
	for name, e := range s.Endpoints {
		f.checkMeta(KindEndpoint, name, e.Meta)
		if _, err := netip.ParseAddrPort(e.Addr); err != nil {
			f.add("endpoint %q: addr %q must be an IP address and port", name, e.Addr)
		}
	}
	for name, m := range s.Members {
		f.checkMeta(KindMember, name, m.Meta)
	}
	if len(f) == 0 {
		return nil
	}
	slices.Sort(f)
	return &ValidationError{Faults: f}
}

func (f *faults) checkMeta(kind Kind, key string, m Meta) {
	for _, msg := range validation.IsDNS1123Subdomain(key) {
		f.add("%s %q: name: %s", kind, key, msg)
	}
	for k, v := range m.Labels {
		for _, msg := range validation.IsQualifiedName(k) {
			f.add("%s %q: label %q: %s", kind, key, k, msg)
		}
		for _, msg := range validation.IsValidLabelValue(v) {
			f.add("%s %q: label %q: %s", kind, key, k, msg)
		}
	}
}

func (s *State) checkKey(f *faults, name string, k Key) {
	if _, ok := s.Teams[k.Team]; !ok {
		f.add("key %q: team %q does not exist", name, k.Team)
	}
	if raw, err := hex.DecodeString(k.Digest); err != nil || len(raw) != digestBytes {
		f.add("key %q: digest must be a hexadecimal SHA-256", name)
	}
}

func (s *State) checkService(f *faults, name string, v Service) {
	if v.Type != ServiceEngine && v.Type != ServicePlain {
		f.add("service %q: type must be %q or %q", name, ServiceEngine, ServicePlain)
	}
	if v.Deduplicate && (v.Open || v.Idempotent) {
		f.add("service %q: deduplicate needs a service with keys that is not idempotent", name)
	}
	if v.PrefixAffinity < 0 || v.PrefixAffinity > 1 {
		f.add("service %q: prefix_affinity must be between 0 and 1", name)
	}
	if v.PrefixAffinity > 0 && v.Type != ServiceEngine {
		f.add("service %q: prefix_affinity is for model engines", name)
	}
	switch v.Resume {
	case ResumeNever:
	case ResumeSameVersion, ResumeAnyVersion:
		if v.Type != ServiceEngine {
			f.add("service %q: resume is for model engines", name)
		}
	default:
		f.add("service %q: resume must be %q or %q", name, ResumeSameVersion, ResumeAnyVersion)
	}
	for _, t := range v.Teams {
		if _, ok := s.Teams[t]; !ok {
			f.add("service %q: team %q does not exist", name, t)
		}
	}
	for _, p := range v.Pools {
		if p.Min < 0 || p.Max < p.Min {
			f.add("service %q: pool %s/%s: need 0 <= min <= max", name, p.DataCentre, p.Tier)
		}
	}
}
