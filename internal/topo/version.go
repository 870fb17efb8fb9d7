package topo

import (
	"log/slog"
	"strconv"
)

// Version orders the changes of one store. A later change of any object has a higher
// version than every earlier one, even if the store was restored from an older copy and
// reuses revisions: the high bits of a Version hold the era, the low bits the revision.
type Version int64

// revisionBits is the number of bits of a Version that hold the revision. At ten thousand
// changes a second they last for three years.
const revisionBits = 40

// VersionAt returns the version of a revision in an era. revision has no era itself.
func VersionAt(era Era, revision Version) Version {
	return Version(era)<<revisionBits | revision
}

// Era returns the era of the store to which v belongs.
func (v Version) Era() Era {
	return Era(v >> revisionBits)
}

// Revision returns the store's own revision within the era of v.
func (v Version) Revision() Version {
	return v & (1<<revisionBits - 1)
}

// String returns era.revision, or the revision alone if the era is zero.
func (v Version) String() string {
	revision := strconv.FormatInt(int64(v.Revision()), 10)
	if v.Era() == 0 {
		return revision
	}
	return strconv.FormatInt(int64(v.Era()), 10) + "." + revision
}

// LogValue implements slog.LogValuer.
func (v Version) LogValue() slog.Value {
	if v.Era() == 0 {
		return slog.Int64Value(int64(v))
	}
	return slog.StringValue(v.String())
}
