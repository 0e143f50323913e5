package telemetry

import (
	"fmt"
	"strings"
	"testing"
)

func TestNamesAreBounded(t *testing.T) {
	var n Names
	for i := range 500 {
		n = append(n, fmt.Sprint("instance-", i))
	}
	if got := n[:2].LogValue().String(); got != "instance-0 instance-1" {
		t.Errorf("two names are logged as %q", got)
	}
	got := n.LogValue().String()
	if len(got) > 250 || !strings.HasSuffix(got, "and 488 more") {
		t.Errorf("500 names are logged as %q", got)
	}
}
