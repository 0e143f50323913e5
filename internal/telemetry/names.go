package telemetry

import (
	"fmt"
	"log/slog"
	"strings"
)

// maxNames is how many names a line of the log lists.
const maxNames = 12

// Names is a list for one line of the log, which shows the first ones and how many
// more there are.
type Names []string

// LogValue implements slog.LogValuer.
func (n Names) LogValue() slog.Value {
	if len(n) <= maxNames {
		return slog.StringValue(strings.Join(n, " "))
	}
	return slog.StringValue(fmt.Sprintf("%s and %d more", strings.Join(n[:maxNames], " "), len(n)-maxNames))
}
