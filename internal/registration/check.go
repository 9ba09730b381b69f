package registration

import (
	"net/netip"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

// Invalid means that a record does not describe an endpoint that can be used.
const Invalid Kind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// maxNameBytes bounds ids and names.
	maxNameBytes = 256
	maxSlots     = 1_000_000
	// maxStarted is in the year 2286. A later start would outrank all other incarnations at an address for good. The bound
	// is absolute, because the clock of an instance may be wrong.
	maxStarted = 10_000_000_000_000
	// maxSequence is far above any number of check-ins. With a larger one, later check-ins would look outdated.
	maxSequence = 1 << 53
	// maxCold is far above the time that any endpoint needs to warm up.
	maxCold = time.Hour
)

// Check returns an error of kind Invalid unless the record describes an endpoint that can be used.
func (r Record) Check() error {
	const op = "check record"
	address, err := netip.ParseAddrPort(r.Address)
	switch {
	case r.ID == "" || !isPrintable(r.ID):
		return fault.New(op, Invalid, "the id must have 1 to %d printable bytes", maxNameBytes)
	case r.Service == "" || !isPrintable(r.Service):
		return fault.New(op, Invalid, "the service must have 1 to %d printable bytes", maxNameBytes)
	case !isPrintable(r.DataCentre):
		return fault.New(op, Invalid, "the data centre must have at most %d printable bytes", maxNameBytes)
	case err != nil || address.Port() == 0:
		return fault.New(op, Invalid, "the address %.64q is not an IP address and a port from 1 to 65535", r.Address)
	case r.Slots < 0 || r.Slots > maxSlots:
		return fault.New(op, Invalid, "%d slots are not from 0 to %d", r.Slots, maxSlots)
	case r.Started < 0 || r.Started > maxStarted:
		return fault.New(op, Invalid, "the start at %d ms is not from 0 to %d", r.Started, int64(maxStarted))
	case r.Sequence > maxSequence:
		return fault.New(op, Invalid, "the sequence number %d is above %d", r.Sequence, int64(maxSequence))
	case r.Cold < 0 || r.Cold > maxCold:
		return fault.New(op, Invalid, "the endpoint is cold for %v, not for 0 to %v", r.Cold, maxCold)
	case r.State != Ready && r.State != Draining:
		return fault.New(op, Invalid, "the state is %.64q", string(r.State))
	}
	return nil
}

// Check returns an error of kind Invalid unless the departure can be that of an endpoint.
func (d Departure) Check() error {
	const op = "check departure"
	switch {
	case d.ID == "" || !isPrintable(d.ID):
		return fault.New(op, Invalid, "the id must have 1 to %d printable bytes", maxNameBytes)
	case d.Started < 0 || d.Started > maxStarted:
		return fault.New(op, Invalid, "the start at %d ms is not from 0 to %d", d.Started, int64(maxStarted))
	}
	return nil
}

// isPrintable reports whether a text can be written to logs and headers.
func isPrintable(text string) bool {
	if len(text) > maxNameBytes || !utf8.ValidString(text) {
		return false
	}
	for _, c := range text {
		if !unicode.IsPrint(c) {
			return false
		}
	}
	return true
}
