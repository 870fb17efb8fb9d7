package demand

import (
	"encoding/binary"
	"math"
	"math/bits"
	"time"

	"github.com/pkg/errors"
)

// A message is a report or a summary. Integers are big-endian.
//
//	version          1 byte
//	flags            1: scarce, summary, complete
//	age              1: of the root's summary, in units of 10 ms; 0 in a report
//	accepted         2: rate
//	rejected         2: rate
//	named            1: number of organisations, at most 8
//	organisations    each: hash (4), attributes (3), weight (2), a rate (2) for each class
//	combined rates   for each priority: attributes (3), weight (2), and for each class the number
//	                 of organisations (varint, 1 to 3) and a rate (2)
//
// Attributes are the priority in 4 bits and the set of the classes that follow in 20 bits, by
// class index.
const (
	messageVersion = 1
	// maxMessageSize is the maximum size of a message in bytes: with one message in
	// messageInterval, a router sends less than 300 bytes per second.
	maxMessageSize = 220
	// maxNamed is the maximum number of organisations that a message names.
	maxNamed = 8

	headerSize       = 8
	attributesSize   = 3
	weightSize       = 2
	rateSize         = 2
	combinedHeadSize = attributesSize + weightSize
	organisationSize = 4 + attributesSize + weightSize

	ageUnit     = 10 * time.Millisecond
	maxAgeUnits = math.MaxUint8
	maxOrgs     = math.MaxUint16
)

const (
	flagScarce   = 1 << iota // the sender or one of its subscribers sees the pool as scarce
	flagSummary              // the message is a summary
	flagComplete             // the summary covers all routers
	knownFlags   = flagScarce | flagSummary | flagComplete
)

var (
	// ErrMalformed is returned for a message that is not in the layout of its version.
	ErrMalformed = errors.New("demand: malformed message")
	// ErrVersion is returned for a message of an unknown version.
	ErrVersion = errors.New("demand: unknown message version")
)

// message is a decoded report or summary.
type message struct {
	flags              byte
	age                time.Duration
	accepted, rejected float64
	orgs               []organisation // named organisations
	combined           []combination  // in ascending order of priority and class
}

// organisation is the demand of one organisation by class index.
type organisation struct {
	id       uint32
	classes  uint32 // set of the class indexes with an offered rate
	priority uint8
	weight   uint16
	offered  [classCount]float64
}

// combination is the combined demand of the organisations that are not named, for one priority
// and class index.
type combination struct {
	priority uint8
	class    uint8
	weight   uint16 // mean of the organisations of the priority
	orgs     int
	offered  float64
}

// work returns the offered work of all classes.
func (o *organisation) work() float64 {
	sum := 0.0
	for set := o.classes; set != 0; set &= set - 1 {
		sum += o.offered[bits.TrailingZeros32(set)]
	}
	return sum
}

// add adds work to a class.
func (o *organisation) add(class int, work float64) {
	o.classes |= 1 << class
	o.offered[class] += work
}

// Rates are encoded on a logarithmic scale with 1,024 steps per factor of two, from 2^-20 to 2^44.
// The error is at most 0.04%.
const (
	rateSteps       = 1024
	minRateExponent = -20
)

// encodeRate returns the code of a rate, or 0 for one that is too small to be sent.
func encodeRate(rate float64) uint16 {
	if !(rate > 0) {
		return 0
	}
	code := math.Round((math.Log2(rate)-minRateExponent)*rateSteps) + 1
	return uint16(min(max(code, 0), math.MaxUint16))
}

func decodeRate(code uint16) float64 {
	if code == 0 {
		return 0
	}
	return math.Exp2(float64(code-1)/rateSteps + minRateExponent)
}

func appendRate(b []byte, rate float64) []byte {
	return binary.BigEndian.AppendUint16(b, encodeRate(rate))
}

func appendAttributes(b []byte, priority uint8, classes uint32, weight uint16) []byte {
	packed := uint32(priority)<<classCount | classes
	b = append(b, byte(packed>>16), byte(packed>>8), byte(packed))
	return binary.BigEndian.AppendUint16(b, weight)
}

// encode returns the message in its binary layout. It must fit into maxMessageSize.
func (m *message) encode() []byte {
	b := make([]byte, 0, maxMessageSize)
	age := min(max(m.age, 0)/ageUnit, maxAgeUnits)
	b = append(b, messageVersion, m.flags, byte(age))
	b = appendRate(b, m.accepted)
	b = appendRate(b, m.rejected)
	b = append(b, byte(len(m.orgs)))
	for i := range m.orgs {
		b = m.orgs[i].appendTo(b)
	}
	for rest := m.combined; len(rest) > 0; {
		n := samePriority(rest)
		b = appendCombinations(b, rest[:n])
		rest = rest[n:]
	}
	return b
}

func (o *organisation) appendTo(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, o.id)
	b = appendAttributes(b, o.priority, o.classes, o.weight)
	for set := o.classes; set != 0; set &= set - 1 {
		b = appendRate(b, o.offered[bits.TrailingZeros32(set)])
	}
	return b
}

// samePriority returns the number of combinations at the start that have the same priority.
func samePriority(combined []combination) int {
	n := 1
	for n < len(combined) && combined[n].priority == combined[0].priority {
		n++
	}
	return n
}

func appendCombinations(b []byte, combined []combination) []byte {
	classes := uint32(0)
	for _, c := range combined {
		classes |= 1 << c.class
	}
	b = appendAttributes(b, combined[0].priority, classes, combined[0].weight)
	for _, c := range combined {
		b = binary.AppendUvarint(b, uint64(c.orgs))
		b = appendRate(b, c.offered)
	}
	return b
}

// size returns the size of the encoded message in bytes.
func (m *message) size() int {
	size := headerSize
	for i := range m.orgs {
		size += organisationSize + rateSize*bits.OnesCount32(m.orgs[i].classes)
	}
	for i, c := range m.combined {
		if i == 0 || c.priority != m.combined[i-1].priority {
			size += combinedHeadSize
		}
		size += uvarintSize(c.orgs) + rateSize
	}
	return size
}

func uvarintSize(n int) int { return (max(bits.Len(uint(n)), 1) + 6) / 7 }

// reader reads the fields of a message. After a field that is missing or out of range, failed is
// set and all fields are zero.
type reader struct {
	b      []byte
	failed bool
}

func (r *reader) next(n int) []byte {
	if r.failed || len(r.b) < n {
		r.failed = true
		return make([]byte, n)
	}
	field := r.b[:n]
	r.b = r.b[n:]
	return field
}

func (r *reader) require(ok bool) { r.failed = r.failed || !ok }

// rate reads a rate, which may be zero only in the header.
func (r *reader) rate() float64 { return decodeRate(binary.BigEndian.Uint16(r.next(rateSize))) }

func (r *reader) positiveRate() float64 {
	rate := r.rate()
	r.require(rate > 0)
	return rate
}

func (r *reader) attributes() (priority uint8, classes uint32, weight uint16) {
	f := r.next(attributesSize)
	packed := uint32(f[0])<<16 | uint32(f[1])<<8 | uint32(f[2])
	priority, classes = uint8(packed>>classCount), packed&(1<<classCount-1)
	weight = binary.BigEndian.Uint16(r.next(weightSize))
	r.require(priority < priorityCount && classes != 0 && weight >= 1 && weight <= maxWeight)
	return priority, classes, weight
}

func (r *reader) orgs() int {
	n, size := binary.Uvarint(r.b)
	r.require(size > 0 && n >= 1 && n <= maxOrgs && size == uvarintSize(int(n)))
	if r.failed {
		return 0
	}
	r.b = r.b[size:]
	return int(n)
}

func (r *reader) organisation() organisation {
	o := organisation{id: binary.BigEndian.Uint32(r.next(4))}
	o.priority, o.classes, o.weight = r.attributes()
	r.require(o.id != 0)
	for set := o.classes; set != 0 && !r.failed; set &= set - 1 {
		o.offered[bits.TrailingZeros32(set)] = r.positiveRate()
	}
	return o
}

func (r *reader) combinations(m *message) {
	priority, classes, weight := r.attributes()
	if n := len(m.combined); n > 0 {
		r.require(priority > m.combined[n-1].priority)
	}
	for set := classes; set != 0 && !r.failed; set &= set - 1 {
		m.combined = append(m.combined, combination{
			priority: priority, class: uint8(bits.TrailingZeros32(set)), weight: weight,
			orgs: r.orgs(), offered: r.positiveRate(),
		})
	}
}

// decode returns the message that b contains, or ErrVersion or ErrMalformed.
func decode(b []byte) (*message, error) {
	if len(b) == 0 || len(b) > maxMessageSize {
		return nil, errors.Wrapf(ErrMalformed, "%d bytes", len(b))
	}
	if b[0] != messageVersion {
		return nil, errors.Wrapf(ErrVersion, "version %d", b[0])
	}
	r := reader{b: b}
	head := r.next(3)
	m := &message{flags: head[1], age: time.Duration(head[2]) * ageUnit, accepted: r.rate(), rejected: r.rate()}
	named := int(r.next(1)[0])
	r.require(m.flags&^knownFlags == 0 && named <= maxNamed)
	for i := 0; i < named && !r.failed; i++ {
		o := r.organisation()
		r.require(m.named(o.id) == nil)
		m.orgs = append(m.orgs, o)
	}
	for len(r.b) > 0 && !r.failed {
		r.combinations(m)
	}
	if r.failed {
		return nil, errors.Wrapf(ErrMalformed, "at byte %d of %d", len(b)-len(r.b), len(b))
	}
	return m, nil
}

// named returns the organisation with the given hash, or nil if the message does not name it.
func (m *message) named(id uint32) *organisation {
	for i := range m.orgs {
		if m.orgs[i].id == id {
			return &m.orgs[i]
		}
	}
	return nil
}
