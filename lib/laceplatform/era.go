package laceplatform

import "github.com/pkg/errors"

// ErrRange means that a store sent a number that no revision or era can have.
var ErrRange = errors.New("platform: number is out of range")

// Era counts how often a store has been restored from a backup. Revisions that were given out after that backup are given
// out again in the next era, so that they identify something only together with their era. It is zero for stores that do
// not report an era.
type Era int64

const (
	// numberBits is the width of a number within an era; the era takes the bits above it.
	numberBits = 44
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(63-numberBits) - 1
)

// Valid reports whether the era can be part of a revision.
func (e Era) Valid() bool { return e >= 0 && e <= maxEra }

// NewRevision returns the revision with a number in an era. Zero, which is no revision, stays zero in every era.
func NewRevision(era Era, number int64) (Revision, error) {
	if number < 0 || number > maxNumber || !era.Valid() {
		return 0, errors.Wrapf(ErrRange, "%d in era %d", number, era)
	}
	if number == 0 {
		return 0, nil
	}
	return Revision(int64(era)<<numberBits | number), nil
}

// Era returns the era in which the revision was given out.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the revision as the store numbers it within its era.
func (r Revision) Number() int64 { return int64(r) & maxNumber }
