package settings

import (
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/policy"
)

// The types of values below accept any text and record the error. A parser that stopped at
// the first error would show operators only one at each start.

// checkedValue is a value whose text may be invalid.
type checkedValue interface{ valueError() error }

// Duration is a length of time, such as 10s or 1h30m.
type Duration struct {
	D   time.Duration
	err error
}

// UnmarshalFlag implements flags.Unmarshaler.
func (d *Duration) UnmarshalFlag(text string) error {
	d.D, d.err = time.ParseDuration(text)
	if d.err != nil {
		d.err = errors.Errorf("want a duration such as 10s, have %q", text)
	}
	return nil
}

// String implements fmt.Stringer.
func (d Duration) String() string { return d.D.String() }

func (d Duration) valueError() error { return d.err }

// Count is a number of things, such as slots or bytes. It accepts any integer: check applies
// the range of each setting.
type Count struct {
	N   int
	err error
}

// UnmarshalFlag implements flags.Unmarshaler.
func (c *Count) UnmarshalFlag(text string) error {
	c.N, c.err = strconv.Atoi(text)
	if c.err != nil {
		c.err = errors.Errorf("want a whole number, have %q", text)
	}
	return nil
}

// String implements fmt.Stringer.
func (c Count) String() string { return strconv.Itoa(c.N) }

func (c Count) valueError() error { return c.err }

// Mechanisms sets which mechanisms of package policy are on. Its text is a comma-separated
// list of those that are off.
type Mechanisms struct {
	Policy   policy.Policy
	disabled string
	err      error
}

// UnmarshalFlag implements flags.Unmarshaler.
func (m *Mechanisms) UnmarshalFlag(text string) error {
	m.disabled = text
	m.Policy, m.err = policy.Without(text)
	return nil
}

// String implements fmt.Stringer.
func (m Mechanisms) String() string { return m.disabled }

func (m Mechanisms) valueError() error { return m.err }

// Ratio is a number from 0 to 1.
type Ratio struct {
	R   float64
	err error
}

// UnmarshalFlag implements flags.Unmarshaler.
func (r *Ratio) UnmarshalFlag(text string) error {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v <= 1) {
		r.err = errors.Errorf("want a number from 0 to 1, have %q", text)
		return nil
	}
	r.R, r.err = v, nil
	return nil
}

// String implements fmt.Stringer.
func (r Ratio) String() string { return strconv.FormatFloat(r.R, 'g', -1, 64) }

func (r Ratio) valueError() error { return r.err }

// Switch is a boolean. A flag without a value sets it to true.
type Switch struct {
	On  bool
	err error
}

// UnmarshalFlag implements flags.Unmarshaler.
func (s *Switch) UnmarshalFlag(text string) error {
	s.On, s.err = strconv.ParseBool(text)
	if s.err != nil {
		s.err = errors.Errorf("want true or false, have %q", text)
	}
	return nil
}

// String implements fmt.Stringer.
func (s Switch) String() string { return strconv.FormatBool(s.On) }

func (s Switch) valueError() error { return s.err }

// URL is an http or https URL. Its password is redacted when it is printed.
type URL string

// String implements fmt.Stringer with the password redacted.
func (u URL) String() string {
	parsed, err := url.Parse(string(u))
	if err != nil {
		return "(not a URL)"
	}
	return parsed.Redacted()
}

// MarshalText implements encoding.TextMarshaler with the password redacted.
func (u URL) MarshalText() ([]byte, error) {
	return []byte(u.String()), nil
}

func (u URL) valueError() error {
	parsed, err := url.Parse(string(u))
	if u == "" || (err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")) {
		return nil
	}
	return errors.Errorf("want a URL such as http://10.0.0.2:7000, have %s", u)
}

// Secret is a value that is redacted when it is printed.
type Secret string

// String implements fmt.Stringer.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return "[redacted]"
}

// MarshalText implements encoding.TextMarshaler.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}
