package language

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	microCentsPerCent = 1_000_000
	// centDecimals is the number of decimals of an amount in cents, the last of which is a micro-cent.
	centDecimals = 6
)

// MicroCents is an amount of money in micro-cents; it is read and written in cents.
type MicroCents int64

// ParseCents parses an amount in cents with up to six decimals, without rounding.
func ParseCents(text string) (MicroCents, error) {
	whole, fraction, _ := strings.Cut(text, ".")
	if !isDigits(whole) || (strings.Contains(text, ".") && !isDigits(fraction)) {
		return 0, fmt.Errorf("%q is not an amount in cents such as 120.50", text)
	}
	if len(fraction) > centDecimals {
		return 0, fmt.Errorf("%q has more than %d decimals", text, centDecimals)
	}
	cents, err := strconv.ParseInt(whole, 10, 64)
	if err != nil || cents > math.MaxInt64/microCentsPerCent-1 {
		return 0, fmt.Errorf("%q is larger than the largest amount, %d", text, int64(math.MaxInt64/microCentsPerCent-1))
	}
	micro, err := strconv.ParseInt(fraction+strings.Repeat("0", centDecimals-len(fraction)), 10, 64)
	if err != nil {
		return 0, err
	}
	return MicroCents(cents*microCentsPerCent + micro), nil
}

func isDigits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}

// String returns the amount in cents without trailing zeros.
func (c MicroCents) String() string {
	sign, value := "", uint64(c)
	if c < 0 {
		sign, value = "-", -value
	}
	text := fmt.Sprintf("%s%d.%06d", sign, value/microCentsPerCent, value%microCentsPerCent)
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
}

// MarshalJSON writes the amount in cents as a number.
func (c MicroCents) MarshalJSON() ([]byte, error) {
	return []byte(c.String()), nil
}
