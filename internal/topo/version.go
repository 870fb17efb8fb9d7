package topo

import (
	"log/slog"
	"strconv"
)

// Version orders the changes of one store. A later change of any object has a higher
// version than every earlier one, also where the store has come back from an older copy
// and gives its revisions out again: a Version holds the era above the revision.
type Version int64

// revisionBits is how much of a Version is the revision. Ten thousand changes a second
// take three years to use them up.
const revisionBits = 40

// VersionAt returns the version of a revision in an era.
func VersionAt(era Era, revision Version) Version {
	return Version(era)<<revisionBits | revision
}

// Era returns the era of the store to which v belongs.
func (v Version) Era() Era {
	return Era(v >> revisionBits)
}

// Revision returns v as the store counts within its era.
func (v Version) Revision() Version {
	return v & (1<<revisionBits - 1)
}

// String returns era.revision, or the revision alone where the store tells no era.
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
