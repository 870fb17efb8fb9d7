package membership

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// tombstoneTTL is how long the start of an upstream without an entry is remembered.
// Writes of a former incarnation that the platform delays arrive seconds late.
const tombstoneTTL = 10 * time.Minute

// tombstone records the last write of an upstream whose entry was removed.
type tombstone struct {
	write     write
	removedAt time.Time // when the entry was removed
}

// write identifies one write of an entry.
type write struct {
	startedAt, sequence int64
	version             topo.Version
}

func writeOf(e Entry) write {
	return write{startedAt: e.StartedAt, sequence: e.Sequence, version: e.Version}
}

// isReplayOf reports whether w is last or an earlier write of the same incarnation, which
// arrives with a higher version because a store that was restored from an older copy has
// given it a version of its new era. It is false if last is the zero write.
func (w write) isReplayOf(last write) bool {
	return last.version != 0 && w.version.Era() > last.version.Era() &&
		w.startedAt == last.startedAt && w.sequence <= last.sequence
}

// isOvertakenBy reports whether w was made before last, by the same incarnation, and the store has
// committed it later. A write without a start is only compared with an entry that exists: its
// upstream may have started again under the name.
func (w write) isOvertakenBy(last write, exists bool) bool {
	return last.version != 0 && w.startedAt == last.startedAt && w.sequence < last.sequence &&
		(w.startedAt != 0 || exists)
}
