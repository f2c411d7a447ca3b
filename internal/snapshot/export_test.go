package snapshot

// FormatName begins every snapshot, of whatever version.
const FormatName = formatName

// The bounds of the times between writes.
const (
	MinInterval = minInterval
	MaxBackoff  = maxBackoff
)
