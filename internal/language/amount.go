package language

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	// microCents is one cent in micro-cents.
	microCents = 1_000_000
	// centDecimals is the number of decimals of a cent that a micro-cent can express.
	centDecimals = 6
)

// Cents is an amount in micro-cents; it is written in cents.
type Cents int64

// ParseCents reads an amount in cents with up to six decimals. It is exact.
func ParseCents(text string) (Cents, error) {
	whole, fraction, _ := strings.Cut(text, ".")
	if !digits(whole) || (strings.Contains(text, ".") && !digits(fraction)) {
		return 0, fmt.Errorf("%q is not an amount in cents such as 120.50", text)
	}
	if len(fraction) > centDecimals {
		return 0, fmt.Errorf("%q has more than %d decimals", text, centDecimals)
	}
	cents, err := strconv.ParseInt(whole, 10, 64)
	if err != nil || cents > math.MaxInt64/microCents-1 {
		return 0, fmt.Errorf("%q is larger than the largest amount, %d", text, int64(math.MaxInt64/microCents-1))
	}
	micro, err := strconv.ParseInt(fraction+strings.Repeat("0", centDecimals-len(fraction)), 10, 64)
	if err != nil {
		return 0, err
	}
	return Cents(cents*microCents + micro), nil
}

func digits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}

// String returns the amount in cents without trailing zeros.
func (c Cents) String() string {
	sign, value := "", uint64(c)
	if c < 0 {
		sign, value = "-", -value
	}
	text := fmt.Sprintf("%s%d.%06d", sign, value/microCents, value%microCents)
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
}

// MarshalJSON writes the amount in cents as a number.
func (c Cents) MarshalJSON() ([]byte, error) {
	return []byte(c.String()), nil
}
