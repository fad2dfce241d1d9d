package storer

import (
	"cmp"
	"fmt"
	"log/slog"
	"strconv"
)

type (
	// Era counts how often the store was restored from an older copy. It is 0 if the store
	// does not report it.
	Era uint64

	// Revision is the number of a write, counted over the whole store. A restoration from an
	// older copy sets it back, so revisions are comparable only within an era.
	Revision uint64

	// Version identifies a write. An object's version is that of its last write in the era
	// in which the object was read.
	Version struct {
		Era      Era
		Revision Revision
	}
)

// Compare returns -1, 0 or 1 if v is before, equal to or after w.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Era, w.Era), cmp.Compare(v.Revision, w.Revision))
}

// Before reports whether v is before w.
func (v Version) Before(w Version) bool {
	return v.Compare(w) < 0
}

// Later returns the later of two versions.
func (v Version) Later(w Version) Version {
	if v.Before(w) {
		return w
	}
	return v
}

// String returns the revision, preceded by the era if it is known, as in "2/1500".
func (v Version) String() string {
	if v.Era == 0 {
		return strconv.FormatUint(uint64(v.Revision), 10)
	}
	return fmt.Sprintf("%d/%d", v.Era, v.Revision)
}

// LogValue implements slog.LogValuer.
func (v Version) LogValue() slog.Value {
	return slog.StringValue(v.String())
}
