package config

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Diff returns the differences from a to b, one line per object: "+ kind name
// value" for an added object, "- kind name value" for a removed one, and both
// lines for a changed one. Keys appear as digests.
func Diff(a, b *State) []string {
	var lines []string
	lines = diffKind(lines, KindTeam, a.Teams, b.Teams)
	lines = diffKind(lines, KindKey, a.Keys, b.Keys)
	lines = diffKind(lines, KindService, a.Services, b.Services)
	lines = diffKind(lines, KindEndpoint, a.Endpoints, b.Endpoints)
	lines = diffKind(lines, KindMember, a.Members, b.Members)
	return lines
}

func diffKind[T any](lines []string, kind Kind, a, b map[string]T) []string {
	names := make([]string, 0, len(a)+len(b))
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		before, after := encode(a, name), encode(b, name)
		if before == after {
			continue
		}
		if before != "" {
			lines = append(lines, fmt.Sprintf("- %s %s %s", kind, name, before))
		}
		if after != "" {
			lines = append(lines, fmt.Sprintf("+ %s %s %s", kind, name, after))
		}
	}
	return lines
}

func encode[T any](m map[string]T, name string) string {
	v, ok := m[name]
	if !ok {
		return ""
	}
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
