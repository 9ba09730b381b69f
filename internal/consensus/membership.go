package consensus

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Member is a member as recorded in the replicated membership.
type Member struct {
	ID       string `cbor:"id"`
	Address  string `cbor:"address"`
	Voter    bool   `cbor:"voter,omitempty"`
	Observer bool   `cbor:"observer,omitempty"`
	// Incarnation is set for each voter. Votes and replies from other incarnations do not count.
	Incarnation string `cbor:"incarnation,omitempty"`
}

// Membership is an immutable set of members, sorted by id.
type Membership struct {
	Members []Member `cbor:"members"`
	// Fresh is the id of the voter that the last change promoted, or empty.
	Fresh string `cbor:"fresh,omitempty"`
	// Replaced is the id of the lost voter that will be removed after the promotion of Fresh, or
	// empty.
	Replaced string `cbor:"replaced,omitempty"`
}

func (m Membership) encode() []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // The type holds only strings and booleans.
	}
	return data
}

func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	if len(data) == 0 {
		return m, nil
	}
	err := cbor.Unmarshal(data, &m)
	return m, err
}

func (m Membership) find(id string) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(o Member) bool { return o.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

func (m Membership) voter(id string) bool {
	o, ok := m.find(id)
	return ok && o.Voter
}

func (m Membership) voters() int {
	n := 0
	for _, o := range m.Members {
		if o.Voter {
			n++
		}
	}
	return n
}

// with returns a membership with member added, or replaced if its id exists already.
func (m Membership) with(member Member) Membership {
	members := slices.Concat(m.without(member.ID).Members, []Member{member})
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return Membership{Members: members, Replaced: m.Replaced}
}

// without returns a membership without the given member. Removing the voter in Fresh cancels the
// replacement, so the voter in Replaced stays; removing the voter in Replaced completes it.
func (m Membership) without(id string) Membership {
	members := slices.DeleteFunc(slices.Clone(m.Members), func(o Member) bool { return o.ID == id })
	next := Membership{Members: members, Replaced: m.Replaced}
	if id == m.Fresh || id == m.Replaced {
		next.Replaced = ""
	}
	return next
}

// describe returns the members in the form used in the program's log.
func (m Membership) describe() []string {
	var list []string
	for _, o := range m.Members {
		role := "learner"
		if o.Voter {
			role = "voter"
		}
		list = append(list, o.ID+" "+role+" "+o.Address)
	}
	return list
}

func quorum(voters int) int {
	return voters/2 + 1
}
