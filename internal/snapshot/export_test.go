package snapshot

// FormatName is the prefix of every snapshot, regardless of its version.
const FormatName = formatName

// Limits of the time between writes.
const (
	MinInterval = minInterval
	MaxBackoff  = maxBackoff
)
