package language

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// maxPriority is the largest priority, which is served last.
const maxPriority = 9

// object is a configuration object of any kind; only the field of its kind is used.
type object struct {
	workspace  configuration.Workspace
	service    configuration.Service
	model      configuration.Model
	endpoint   configuration.EndpointSetting
	instance   configuration.InstanceSetting
	dataCentre configuration.DataCentreSetting
}

type objectKey struct {
	kind, name string
}

// objectState is an object while the commands of a transaction are applied: whether it existed before
// them, and whether it exists now.
type objectState struct {
	object  object
	existed bool
	exists  bool
}

// changeBuilder applies the commands of a transaction to copies of the objects that they name.
type changeBuilder struct {
	base    configuration.Configuration
	objects map[objectKey]*objectState
	order   []objectKey
}

// Changes translates the commands of a transaction into configuration changes: one per object, in the
// order in which the transaction first names the objects. Errors are of type *Error.
func Changes(t Transaction, base configuration.Configuration) ([]configuration.Change, error) {
	b := changeBuilder{base: base, objects: make(map[objectKey]*objectState)}
	for _, command := range t.Commands {
		if err := b.apply(*command); err != nil {
			return nil, err
		}
	}
	var changes []configuration.Change
	for _, key := range b.order {
		s := b.objects[key]
		if !s.exists && !s.existed {
			continue
		}
		changes = append(changes, s.object.change(key.kind, !s.exists))
	}
	return changes, nil
}

func (b *changeBuilder) apply(c Command) error {
	switch {
	case c.Set != nil:
		return b.set(*c.Set)
	case c.Unset != nil:
		return b.unset(*c.Unset)
	case c.Add != nil:
		return b.addKey(*c.Add)
	case c.Remove != nil:
		return b.removeKey(*c.Remove)
	default:
		return b.drain(*c.Drain)
	}
}

func (b *changeBuilder) state(kind, name string) *objectState {
	key := objectKey{kind, name}
	if s := b.objects[key]; s != nil {
		return s
	}
	s := &objectState{}
	s.object, s.existed = findObject(b.base, kind, name)
	s.exists = s.existed
	b.objects[key] = s
	b.order = append(b.order, key)
	return s
}

func findObject(c configuration.Configuration, kind, name string) (o object, exists bool) {
	switch kind {
	case "workspace":
		o.workspace, exists = c.Workspaces[name]
		o.workspace.Name = name
	case "service":
		o.service, exists = c.Services[name]
		o.service.Name = name
	case "model":
		o.model, exists = c.Models[name]
		o.model.Name = name
	case "endpoint":
		o.endpoint, exists = c.Endpoints[name]
		o.endpoint.Name = name
	case "instance":
		o.instance, exists = c.Instances[name]
		o.instance.Name = name
	case "data-centre":
		o.dataCentre, exists = c.DataCentres[name]
		o.dataCentre.Name = name
	}
	return o, exists
}

func (b *changeBuilder) set(s Set) error {
	target := b.state(s.Kind.Text, s.Name.Text())
	target.exists = true
	for _, field := range s.Fields {
		if err := target.object.setField(*field); err != nil {
			return fault.Wrap(err, "translate", Invalid, position(s.Name))
		}
	}
	return nil
}

func (b *changeBuilder) unset(u Unset) error {
	target := b.state(u.Kind.Text, u.Name.Text())
	if !target.exists {
		return b.unknownObject(u.Kind.Text, u.Name)
	}
	target.exists = false
	target.object, _ = findObject(configuration.Configuration{}, u.Kind.Text, u.Name.Text())
	return nil
}

func (b *changeBuilder) addKey(a Add) error {
	target := b.state("workspace", a.Workspace.Text())
	if !target.exists {
		return b.unknownObject("workspace", a.Workspace)
	}
	if a.Hash.is(newKey) {
		return fault.New("translate", Invalid, "%s: the client replaces new by the SHA-256 sum of the key that it made", position(a.Hash))
	}
	w := &target.object.workspace
	if !slices.Contains(w.KeyHashes, a.Hash.Text()) {
		w.KeyHashes = append(slices.Clone(w.KeyHashes), a.Hash.Text())
	}
	return nil
}

func (b *changeBuilder) removeKey(r Remove) error {
	target := b.state("workspace", r.Workspace.Text())
	if !target.exists {
		return b.unknownObject("workspace", r.Workspace)
	}
	w := &target.object.workspace
	var kept, matching []string
	for _, hash := range w.KeyHashes {
		if strings.HasPrefix(hash, r.Hash.Text()) {
			matching = append(matching, hash)
			continue
		}
		kept = append(kept, hash)
	}
	if len(matching) != 1 {
		return fault.New("translate", Unknown, "%s: %d keys of workspace %q start with %s",
			position(r.Hash), len(matching), w.Name, r.Hash.Text())
	}
	w.KeyHashes = kept
	return nil
}

func (b *changeBuilder) drain(d Drain) error {
	target := b.state(d.Kind.Text, d.Name.Text())
	target.exists = true
	drain := d.Verb == "drain"
	target.object.endpoint.Drain = drain
	target.object.instance.Drain = drain
	target.object.dataCentre.Drain = drain
	return nil
}

func (b *changeBuilder) unknownObject(kind string, name Value) error {
	var names []string
	switch kind {
	case "workspace":
		names = sortedKeys(b.base.Workspaces)
	case "service":
		names = sortedKeys(b.base.Services)
	case "model":
		names = sortedKeys(b.base.Models)
	case "endpoint":
		names = sortedKeys(b.base.Endpoints)
	case "data-centre":
		names = sortedKeys(b.base.DataCentres)
	default:
		names = sortedKeys(b.base.Instances)
	}
	if near, ok := nearest(name.Text(), names); ok {
		return fault.New("translate", Unknown, "%s: %s %q does not exist; did you mean %q?", position(name), kind, name.Text(), near)
	}
	return fault.New("translate", Unknown, "%s: %s %q does not exist", position(name), kind, name.Text())
}

func position(v Value) string {
	return fmt.Sprintf("%d:%d", v.Pos.Line, v.Pos.Column)
}

// setField sets a field by its name. Field names are unique across all kinds of object.
func (o *object) setField(f Field) (err error) {
	first := *f.Values[0]
	switch f.Name.Text {
	case "models":
		o.workspace.Models = uniqueTexts(f.Values)
	case "services":
		o.workspace.Services = uniqueTexts(f.Values)
	case "priority":
		o.workspace.Priority, err = parseWholeNumber(first, maxPriority)
	case "weight":
		o.workspace.Weight, err = parseWholeNumber(first, maxWholeNumber)
	case "spend-limit":
		o.workspace.SpendLimit, err = parseSpendLimit(first)
	case "request-rate":
		o.workspace.RequestRate, err = parseRate(first)
	case "max-in-flight":
		o.workspace.MaxInFlight, err = parseWholeNumber(first, maxWholeNumber)
	case "unrepeatable":
		o.service.UnrepeatableMethods = uniqueTexts(f.Values)
	case "version":
		o.model.Version = first.Text()
	case "adapters":
		o.model.Adapters = uniqueTexts(f.Values)
	case "replicas":
		o.model.Replicas, err = parseWholeNumber(first, maxWholeNumber)
	case "prompt-price":
		o.model.PromptPrice, err = parseMicroCents(first)
	case "cached-price":
		o.model.CachedPrice, err = parseMicroCents(first)
	case "output-price":
		o.model.OutputPrice, err = parseMicroCents(first)
	case "max-context":
		o.model.MaxContext, err = parseWholeNumber(first, maxWholeNumber)
	case "role":
		o.endpoint.Role = parseRole(first)
	}
	return err
}

// maxWholeNumber is the largest number that fits in an int on every platform.
const maxWholeNumber = 1<<31 - 1

func parseWholeNumber(v Value, largest int) (int, error) {
	n, err := strconv.Atoi(v.Text())
	if err != nil || n < 0 || n > largest {
		return 0, fmt.Errorf("%s is not a whole number from 0 to %d", v.Token, largest)
	}
	return n, nil
}

func parseRate(v Value) (float64, error) {
	if strings.Trim(v.Text(), "0123456789.") != "" {
		return 0, fmt.Errorf("%s is not a rate in requests a second", v.Token)
	}
	n, err := strconv.ParseFloat(v.Text(), 64)
	if err != nil {
		return 0, fmt.Errorf("%s is not a rate in requests a second", v.Token)
	}
	return n, nil
}

// parseSpendLimit returns a spending limit in micro-cents; -1 means unlimited.
func parseSpendLimit(v Value) (int64, error) {
	if v.is(unlimited) {
		return -1, nil
	}
	return parseMicroCents(v)
}

func parseMicroCents(v Value) (int64, error) {
	c, err := ParseCents(v.Text())
	return int64(c), err
}

func parseRole(v Value) string {
	if v.is(none) {
		return ""
	}
	return v.Text()
}

// uniqueTexts returns the values without quotes and duplicates; the single value none means no values.
func uniqueTexts(values []*Value) []string {
	if len(values) == 1 && values[0].is(none) {
		return nil
	}
	list := make([]string, 0, len(values))
	for _, value := range values {
		if !slices.Contains(list, value.Text()) {
			list = append(list, value.Text())
		}
	}
	return list
}

func (o object) change(kind string, remove bool) configuration.Change {
	change := configuration.Change{Delete: remove}
	switch kind {
	case "workspace":
		change.Workspace = &o.workspace
	case "service":
		change.Service = &o.service
	case "model":
		change.Model = &o.model
	case "endpoint":
		change.Endpoint = &o.endpoint
	case "instance":
		change.Instance = &o.instance
	case "data-centre":
		change.DataCentre = &o.dataCentre
	}
	return change
}
