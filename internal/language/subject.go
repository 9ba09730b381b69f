package language

// Type is the type of a column. It determines how values are compared.
type Type string

// The column types; the comments give the Go types of their values.
const (
	TypeText     Type = "text"     // string
	TypeList     Type = "list"     // []string
	TypeInteger  Type = "integer"  // int64
	TypeDecimal  Type = "decimal"  // float64
	TypeCents    Type = "cents"    // MicroCents
	TypeDuration Type = "duration" // Seconds
	TypeTime     Type = "time"     // time.Time
	TypeBool     Type = "bool"     // bool
)

// Column is a column of a table. Sum means that the values of a group are added up.
type Column struct {
	Name string `json:"name"`
	Type Type   `json:"type"`
	Sum  bool   `json:"-"`
}

// Subject is a table that can be queried.
type Subject struct {
	Columns []Column
	// TimeColumn is the time column that the clauses since and until filter on; empty where they do not apply.
	TimeColumn string
	// FromEntries means that the rows come from the entries rather than from the control quorum.
	FromEntries bool
	// Ordered means that the rows are already sorted; a query without an order clause keeps their order.
	Ordered bool
}

// Subjects are the tables that can be queried, by name.
var Subjects = map[string]Subject{
	"running": {FromEntries: true, Columns: []Column{
		text("cell"), text("endpoint"), text("data-centre"), text("model"), text("version"),
		sum("grants"), sum("granted-tokens"), sum("running"), sum("queued"), sum("used"), sum("memory"),
	}},
	"costing": {TimeColumn: "period", Columns: []Column{
		text("workspace"), text("model"), text("length-class"), text("period"),
		sum("requests"), sum("tokens"), cents("cost"),
	}},
	"waiting": {FromEntries: true, Columns: []Column{
		text("cell"), text("request-id"), text("workspace"), sum("tokens"),
		{Name: "waited", Type: TypeDuration},
		{Name: "estimate", Type: TypeDuration},
	}},
	"endpoints": {FromEntries: true, Columns: []Column{
		text("endpoint"), text("type"), text("data-centre"), text("region"), list("models"), text("version"),
		list("adapters"), text("role"), text("state"), flag("drain"), flag("open"),
		{Name: "age", Type: TypeDuration},
		sum("used"), sum("memory"),
	}},
	"instances": {Columns: []Column{
		text("instance"), text("data-centre"), text("region"), text("caller"), text("platform"), text("peer"),
		flag("draining"), flag("drain"),
	}},
	"data-centres": {Columns: []Column{text("data-centre"), flag("drain"), sum("instances")}},
	"models": {Columns: []Column{
		text("model"), text("version"), list("adapters"), sum("replicas"), price("prompt-price"),
		price("cached-price"), price("output-price"),
		{Name: "max-context", Type: TypeInteger},
	}},
	"services": {Columns: []Column{text("service"), list("unrepeatable")}},
	"workspaces": {Columns: []Column{
		text("workspace"), list("models"), list("services"),
		{Name: "priority", Type: TypeInteger},
		{Name: "weight", Type: TypeInteger},
		text("spend-limit"), cents("spent"), cents("leased"),
		{Name: "request-rate", Type: TypeDecimal},
		{Name: "max-in-flight", Type: TypeInteger},
		list("keys"),
	}},
	"versions": {FromEntries: true, Columns: []Column{
		text("model"), text("wanted"), text("version"), sum("ready"), sum("endpoints"),
	}},
	"history": {TimeColumn: "time", Ordered: true, Columns: []Column{
		{Name: "revision", Type: TypeInteger}, text("author"), {Name: "time", Type: TypeTime}, text("change"),
	}},
	"quorum": {Columns: []Column{
		text("id"), text("address"), flag("voter"), flag("leader"),
		{Name: "match", Type: TypeInteger},
		flag("reached"),
		{Name: "last-seen", Type: TypeDuration},
	}},
	"revision": {Columns: []Column{
		{Name: "revision", Type: TypeInteger}, {Name: "term", Type: TypeInteger}, text("leader"),
	}},
}

func text(name string) Column  { return Column{Name: name, Type: TypeText} }
func list(name string) Column  { return Column{Name: name, Type: TypeList} }
func flag(name string) Column  { return Column{Name: name, Type: TypeBool} }
func sum(name string) Column   { return Column{Name: name, Type: TypeInteger, Sum: true} }
func price(name string) Column { return Column{Name: name, Type: TypeCents} }
func cents(name string) Column { return Column{Name: name, Type: TypeCents, Sum: true} }

func (s Subject) fields() []string {
	names := make([]string, len(s.Columns))
	for i, column := range s.Columns {
		names[i] = column.Name
	}
	return names
}

func (s Subject) columnIndex(name string) int {
	for i, column := range s.Columns {
		if column.Name == name {
			return i
		}
	}
	return -1
}
