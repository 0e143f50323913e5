package freshness

import (
	"hash/fnv"
	"time"
)

// ageUnit is the unit of packed ages, which are rounded up to it.
const ageUnit = 10 * time.Millisecond

// maxUnits bounds packed ages, so that they do not overflow.
const maxUnits = 1 << 30

// ListDigest returns a hash that identifies a member list.
func ListDigest(members []string) uint64 {
	h := fnv.New64a()
	for _, m := range members {
		_, _ = h.Write([]byte(m)) // never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// Pack encodes reports as one number for each member, in the order of the list:
// zero if there is no report, otherwise the age of the report in units of 10 ms
// plus one. Ages are rounded up, so a decoded report never appears to be newer
// than the original.
func Pack(members []string, reports []Report) []uint32 {
	units := make(map[string]uint32, len(reports))
	for _, report := range reports {
		n := min((report.Age+ageUnit-1)/ageUnit, maxUnits)
		units[report.Member] = uint32(n) + 1
	}
	ages := make([]uint32, len(members))
	for i, m := range members {
		ages[i] = units[m]
	}
	return ages
}

// Unpack decodes the result of Pack. It ignores numbers beyond the end of the
// list.
func Unpack(members []string, ages []uint32) []Report {
	reports := make([]Report, 0, len(ages))
	for i, n := range ages {
		if n > 0 && i < len(members) {
			reports = append(reports, Report{Member: members[i], Age: time.Duration(n-1) * ageUnit})
		}
	}
	return reports
}
