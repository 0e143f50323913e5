package settings

import (
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"time"

	"k8s.io/apimachinery/pkg/util/validation"

	"github.com/cumincove/cumincove/config"
)

// format is a constraint on the content of a string.
type format struct {
	expected string
	valid    func(string) bool
}

var envName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)

var formats = map[string]format{
	"": {"a string", func(string) bool { return true }},
	"name": {"a name of lower-case letters, digits, dots and dashes", func(s string) bool {
		return len(validation.IsDNS1123Subdomain(s)) == 0
	}},
	"addr": {`an IP address and port, for example "10.0.0.1:7001"`, func(s string) bool {
		_, err := netip.ParseAddrPort(s)
		return err == nil
	}},
	"url": {`a URL, for example "http://10.0.0.9:7000"`, func(s string) bool {
		u, err := url.Parse(s)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	}},
	"kind": {`"managed", or an empty string`, func(s string) bool { return s == KindManaged }},
	"env":  {"the name of an environment variable", envName.MatchString},
}

// checkValue returns a description of the value that is expected if the value
// of a field is invalid, and an empty string if it is valid.
func checkValue(v reflect.Value, tag reflect.StructTag) string {
	ok := true
	switch {
	case v.Type() == durationType:
		value := time.Duration(v.Interface().(config.Duration))
		ok = tag.Get("min") == "" || (value >= parseBound(tag.Get("min")) && value <= parseBound(tag.Get("max")))
	case v.Kind() == reflect.String:
		empty := v.String() == "" && tag.Get("required") != "true"
		ok = empty || formats[tag.Get("format")].valid(v.String())
	case v.CanInt():
		ok = inBounds(v.Int(), tag)
	case v.CanFloat():
		ok = tag.Get("min") == "" || v.Float() >= parseNumber(tag.Get("min")) && v.Float() <= parseNumber(tag.Get("max"))
	}
	if ok {
		return ""
	}
	return "want " + expected(v.Type(), tag)
}

func parseNumber(text string) float64 {
	bound, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("settings: bound in a tag: " + err.Error())
	}
	return bound
}

func inBounds(value int64, tag reflect.StructTag) bool {
	if tag.Get("min") == "" {
		return true
	}
	low, errLow := strconv.ParseInt(tag.Get("min"), 10, 64)
	high, errHigh := strconv.ParseInt(tag.Get("max"), 10, 64)
	if errLow != nil || errHigh != nil {
		panic("settings: bound in a tag is not a number")
	}
	return value >= low && value <= high
}

// KindManaged is the kind of platform whose store contains the configuration.
const KindManaged = "managed"

// checkRelations checks constraints between fields.
func (d *decoder) checkRelations(s Settings) {
	t := s.Timing
	d.checkBelow("timing.gossip", t.Gossip, "timing.freshness", t.Freshness)
	d.checkBelow("timing.store_poll", t.StorePoll, "timing.freshness", t.Freshness)
	d.checkBelow("timing.idle", t.Idle, "limits.request_time", s.Limits.RequestTime)
	d.checkBelow("timing.first_byte", t.FirstByte, "limits.request_time", s.Limits.RequestTime)
	d.checkEncryption("peers", s.Listen.Peers, s.TLS.Peers, s.Listen.AllowUnencrypted)
	d.checkEncryption("operators", s.Listen.Operators, s.TLS.Operators, s.Listen.AllowUnencrypted)
	d.checkKeyPair("callers", s.TLS.Callers)
	d.checkManaged(s)
	d.checkDistinct("listen.peers", s.Listen.Peers, "listen.callers", s.Listen.Callers)
	d.checkDistinct("listen.operators", s.Listen.Operators, "listen.callers", s.Listen.Callers)
	d.checkDistinct("listen.operators", s.Listen.Operators, "listen.peers", s.Listen.Peers)
}

// checkManaged checks the fields that a managed platform requires.
func (d *decoder) checkManaged(s Settings) {
	if s.Platform.Kind != KindManaged {
		return
	}
	d.checkBelow("timing.member_period", s.Timing.MemberPeriod, "timing.member_lapse", s.Timing.MemberLapse)
	for _, f := range []struct{ field, value string }{
		{"listen.readiness", s.Listen.Readiness},
		{"listen.entries", s.Listen.Entries},
		{"platform.duties_url", s.Platform.DutiesURL},
	} {
		if f.value == "" {
			d.addFault(d.lineOf("platform.kind"), f.field, "is missing; a managed platform requires it")
		}
	}
}

// checkBelow reports a value that is not below limit, the value of another
// field.
func (d *decoder) checkBelow(field string, value config.Duration, other string, limit config.Duration) {
	if value >= limit {
		d.addFault(d.lineOf(field, other), field, "is %s; must be below %s, which is %s",
			time.Duration(value), other, time.Duration(limit))
	}
}

// checkEncryption requires mutual TLS at an address that is not a loopback
// address, unless allow is set.
func (d *decoder) checkEncryption(name, addr string, files TLSFiles, allow bool) {
	d.checkKeyPair(name, files)
	field := "tls." + name
	if files.CertFile != "" && files.CAFile == "" {
		d.addFault(d.lineOf(field), field+".ca_file", "is missing; want the file of the authorities that sign the certificates of remote ends")
	}
	ap, err := netip.ParseAddrPort(addr)
	if err == nil && !ap.Addr().IsLoopback() && files.CertFile == "" && !allow {
		d.addFault(d.lineOf("listen."+name), "listen."+name,
			"%s is not a loopback address and connections are not encrypted; set %s, or listen.allow_unencrypted_peers_and_operators", addr, field)
	}
}

// checkKeyPair requires that certificate and key are set together.
func (d *decoder) checkKeyPair(name string, f TLSFiles) {
	field := "tls." + name
	if (f.CertFile == "") != (f.KeyFile == "") || (f.CertFile == "" && f.CAFile != "") {
		d.addFault(d.lineOf(field), field, "want both cert_file and key_file, or none of the files")
	}
}

// checkDistinct reports two equal addresses. Addresses with port zero, which
// means any free port, may be equal.
func (d *decoder) checkDistinct(field, addr, other, otherAddr string) {
	a, err := netip.ParseAddrPort(addr)
	if err == nil && a.Port() != 0 && addr == otherAddr {
		d.addFault(d.lineOf(field, other), field, "is also the address of %s", other)
	}
}

// lineOf returns the line of the first of the fields that is set in the file,
// or zero.
func (d *decoder) lineOf(fields ...string) int {
	for _, f := range fields {
		if line, ok := d.lines[f]; ok {
			return line
		}
	}
	return 0
}
