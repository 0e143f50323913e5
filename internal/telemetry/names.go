package telemetry

import (
	"fmt"
	"log/slog"
	"strings"
)

// maxNames bounds the names listed in one log line.
const maxNames = 12

// Names is a list of names for a log line. The line contains the first maxNames
// names and the number of the others.
type Names []string

// LogValue implements slog.LogValuer.
func (n Names) LogValue() slog.Value {
	if len(n) <= maxNames {
		return slog.StringValue(strings.Join(n, " "))
	}
	return slog.StringValue(fmt.Sprintf("%s and %d more", strings.Join(n[:maxNames], " "), len(n)-maxNames))
}
