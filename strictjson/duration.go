package strictjson

import (
	"encoding/json"
	"strconv"
	"time"
)

// Duration is a time.Duration whose JSON form is a string with a unit, such as "80ms".
type Duration time.Duration

// UnmarshalJSON accepts only a string with a unit, because a bare number does not show
// whether seconds or milliseconds are meant.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return &FieldError{Field: "duration", Value: string(b), Remedy: `write a string with a unit, such as "250ms" or "2s"`}
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return &FieldError{Field: "duration", Value: strconv.Quote(s), Remedy: `write a number with a unit of ms, s, m or h, such as "250ms"`}
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON returns the form that UnmarshalJSON accepts.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Bytes is a size in bytes whose JSON form is a string with a unit, such as "64KiB".
type Bytes int64

var byteUnits = []struct {
	suffix string
	size   int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalJSON accepts a whole number followed by B, KiB, MiB or GiB.
func (n *Bytes) UnmarshalJSON(b []byte) error {
	invalid := &FieldError{Field: "size", Value: string(b), Remedy: `write a string with a unit of B, KiB, MiB or GiB, such as "64KiB"`}
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return invalid
	}
	for _, u := range byteUnits {
		if len(s) > len(u.suffix) && s[len(s)-len(u.suffix):] == u.suffix {
			v, err := strconv.ParseInt(s[:len(s)-len(u.suffix)], 10, 32)
			if err != nil || v < 0 {
				return invalid
			}
			*n = Bytes(v * u.size)
			return nil
		}
	}
	return invalid
}

// MarshalJSON returns n as a multiple of the largest unit that divides it.
func (n Bytes) MarshalJSON() ([]byte, error) {
	for _, u := range byteUnits {
		if int64(n)%u.size == 0 && int64(n) >= u.size {
			return json.Marshal(strconv.FormatInt(int64(n)/u.size, 10) + u.suffix)
		}
	}
	return json.Marshal("0B")
}
