package control_test

import (
	"bytes"
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Guards against one odd entry of the replicated log, by another writer or another version of this software, that ends the
// instances that read it, after a restart too, or hides the sound entries beside it.
func TestOddEntriesOfTheLog(t *testing.T) {
	register := func(change func(*registration.Record)) []byte {
		r := registration.Record{ID: "odd", Service: "model", Address: "10.0.0.2:80", State: registration.Ready, Started: 1, Sequence: 1}
		change(&r)
		data, err := control.Command{Time: 1, Register: &control.RegisterRequest{CheckIn: &r}}.Encode()
		is.New(t).NoErr(err)
		return data
	}
	sound := register(func(r *registration.Record) { r.ID, r.Address = "sound", "10.0.0.1:80" })
	for name, entry := range map[string][]byte{
		"empty":              {},
		"no CBOR":            {0xff, 0x00},
		"half a command":     sound[:len(sound)/2],
		"nested deeply":      append([]byte{0xa1, 0x09}, bytes.Repeat([]byte{0x81}, 10_000)...),
		"endless length":     {0xa1, 0x09, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"wrong type":         {0xa1, 0x09, 0x01},
		"doubled field":      {0xa2, 0x01, 0x01, 0x01, 0x02},
		"unknown field":      {0xa2, 0x01, 0x01, 0x18, 0x63, 0x01},
		"port out of range":  register(func(r *registration.Record) { r.Address = "10.0.0.2:70000" }),
		"long id":            register(func(r *registration.Record) { r.ID = strings.Repeat("i", 1<<20) }),
		"control characters": register(func(r *registration.Record) { r.ID = "i\x00\n" }),
		"no UTF-8":           register(func(r *registration.Record) { r.ID = "i\xff" }),
		"numbers": register(func(r *registration.Record) {
			r.Slots, r.Started, r.Sequence = math.MinInt, math.MaxInt64, math.MaxUint64
		}),
		"no fields": register(func(r *registration.Record) { *r = registration.Record{} }),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := control.NewMachine()
			m.Apply(1, entry)
			_, failed := m.Apply(2, sound).(error)
			is.True(!failed)
			m.Apply(3, entry)
			data, err := m.Snapshot()()
			is.NoErr(err)
			restarted := control.NewMachine()
			is.NoErr(restarted.Restore(data))
			restarted.Apply(4, entry)
			for _, machine := range []*control.Machine{m, restarted} {
				found := false
				for _, r := range machine.Endpoints() {
					found = found || r.ID == "sound"
				}
				is.True(found)
			}
		})
	}
}

// Guards against a process that ends because no control instance is known, as with an empty list of seeds.
func TestNoControlAddress(t *testing.T) {
	is := is.New(t)
	client := control.NewClient(control.ClientConfig{Caller: node{network: newNetwork(), name: "entry"}})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := client.Heartbeat(ctx, session.HeartbeatRequest{})
	is.True(fault.Is(err, control.NoLeader))
}
