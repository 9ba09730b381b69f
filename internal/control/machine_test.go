package control_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/claim"
	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/ledger"
)

func submit(t is.T, m *control.Machine, id string, expected uint64, model string) control.SubmitReply {
	command := control.Command{Time: 1, Submit: &control.SubmitRequest{
		CommandID: id,
		Author:    "amaia",
		Expected:  expected,
		Changes:   []configuration.Change{{Model: &configuration.Model{Name: model}}},
	}}
	data, err := command.Encode()
	is.New(t).NoErr(err)
	reply, ok := m.Apply(0, data).(control.SubmitReply)
	is.New(t).True(ok)
	return reply
}

// Guards against accepting the commands of two operators that expect the same revision, and against a retry
// that gets another result than the first attempt.
func TestSubmit(t *testing.T) {
	is := is.New(t)
	m := control.NewMachine()
	is.Equal(submit(t, m, "a", 0, "oak").Status, control.Accepted)
	lost := submit(t, m, "b", 0, "ash")
	is.Equal(lost.Status, control.Conflict)
	is.Equal(len(lost.Since), 1)
	is.Equal(lost.Since[0].Author, "amaia")
	is.Equal(submit(t, m, "c", 1, "ash").Revision, uint64(2))
	is.Equal(submit(t, m, "a", 0, "oak").Revision, uint64(1))
	is.Equal(submit(t, m, "b", 0, "ash").Status, control.Conflict)
	is.Equal(submit(t, m, "a", 0, "elm").Status, control.Rejected)

	data, err := m.Snapshot()()
	is.NoErr(err)
	restored := control.NewMachine()
	is.NoErr(restored.Restore(data))
	is.Equal(submit(t, restored, "a", 0, "oak").Revision, uint64(1))
	is.Equal(submit(t, restored, "b", 0, "ash").Status, control.Conflict)
}

// Guards against a snapshot that changes while further commands are applied: it is encoded after later
// commands, but must hold the state at the time of its capture.
func TestSnapshotIsPointInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := control.NewMachine()
		var captured []func() ([]byte, error)
		var want [][]byte
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			data, err := drawCommand(t, i).Encode()
			if err != nil {
				t.Fatal(err)
			}
			m.Apply(uint64(i), data)
			if rapid.Bool().Draw(t, "capture") {
				captured = append(captured, m.Snapshot())
				now, err := m.Snapshot()()
				if err != nil {
					t.Fatal(err)
				}
				want = append(want, now)
			}
		}
		for i, encode := range captured {
			if got, err := encode(); err != nil || !bytes.Equal(got, want[i]) {
				t.Fatalf("snapshot %d changed after its capture, or %v", i, err)
			}
		}
	})
}

// Guards against a snapshot that leaves something out or is not the same on each instance: a machine that is
// restored from a snapshot must behave exactly like one that never stopped, whenever the snapshot was taken.
func TestSnapshotIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		uninterrupted, restored := control.NewMachine(), control.NewMachine()
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			data, err := drawCommand(t, i).Encode()
			if err != nil {
				t.Fatal(err)
			}
			a, b := uninterrupted.Apply(uint64(i), data), restored.Apply(uint64(i), data)
			if asJSON(a) != asJSON(b) {
				t.Fatalf("command %d: %v and %v", i, a, b)
			}
			if !rapid.Bool().Draw(t, "restore") {
				continue
			}
			snapshot, err := restored.Snapshot()()
			if err != nil {
				t.Fatal(err)
			}
			restored = control.NewMachine()
			if err := restored.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
		}
		a, _ := uninterrupted.Snapshot()()
		b, _ := restored.Snapshot()()
		if !bytes.Equal(a, b) {
			t.Fatal("the snapshots differ")
		}
	})
}

func asJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func drawCommand(t *rapid.T, i int) control.Command {
	command := control.Command{Time: int64(i) * rapid.Int64Range(0, 1_000_000).Draw(t, "time")}
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	key := claim.Key{Workspace: "w", IdempotencyKey: name}
	switch rapid.IntRange(0, 7).Draw(t, "type") {
	case 0:
		command.Submit = &control.SubmitRequest{
			CommandID: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")),
			Expected:  uint64(rapid.IntRange(0, 5).Draw(t, "expected")),
			Changes: []configuration.Change{{
				Workspace: &configuration.Workspace{Name: name, SpendLimit: 100},
				Delete:    rapid.Bool().Draw(t, "delete"),
			}},
		}
	case 1:
		command.OpenClaim = &claim.OpenRequest{Key: key, RequestID: fmt.Sprint(i)}
	case 2:
		command.SettleClaim = &claim.SettleRequest{Key: key, RequestID: fmt.Sprint(i - 1), Outcome: &claim.Outcome{Status: 200, Body: []byte(name)}}
	case 3:
		command.LeaseBudget = &ledger.LeaseRequest{Entry: "entry-1", Workspace: name, Need: 1, Want: 10, Sequence: uint64(i)}
	case 4:
		command.SettleBudget = &ledger.SettleRequest{Entry: "entry-1", Sequence: uint64(i), Spent: []ledger.Spend{{
			Workspace: name, Model: "oak", LengthClass: "short", Period: "1970-01", Amount: 1, Requests: 1,
		}}}
	case 5:
		command.Suspect = &control.SuspectRequest{Fingerprint: uint64(i % 3), Endpoint: fmt.Sprint("e", i), Parts: []string{"system", name}}
	case 6:
		command.ClearPart = &control.ClearPartRequest{Part: name}
	default:
		command.Quarantine = &control.QuarantineRequest{Fingerprint: uint64(i % 3)}
	}
	return command
}

// Guards against a decoder that panics on a damaged command or snapshot.
func FuzzDecode(f *testing.F) {
	data, err := control.Command{Time: 1, Quarantine: &control.QuarantineRequest{Fingerprint: 3}}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		m := control.NewMachine()
		m.Apply(1, data)
		_ = m.Restore(data)
	})
}
