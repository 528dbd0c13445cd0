package bundle

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
	"gopkg.in/yaml.v3"
)

var (
	// ErrUnknownName says that an edit names nothing of the bundle.
	ErrUnknownName = eris.New("bundle: it has nothing of this name")
	// ErrUnchanged says that the bundle states already what an edit wants.
	ErrUnchanged = eris.New("bundle: it states this already")
)

// Target is the kind of thing that an edit takes out or in.
type Target int

const (
	// HostTarget is an entry host or an upstream.
	HostTarget Target = iota
	// DomainTarget is a failure domain.
	DomainTarget
)

// Edit takes a host, an upstream or a domain out of service or back in.
type Edit struct {
	Target Target
	Name   string
	Out    bool
}

// ApplyAll returns the text of the next version with all edits made. Comments
// and the order of the text stay.
func ApplyAll(body []byte, edits []Edit) ([]byte, error) {
	var dt yaml.Node
	if err := yaml.Unmarshal(body, &dt); err != nil || len(dt.Content) == 0 {
		return nil, eris.New("bundle: the text to edit is no YAML")
	}
	root := dt.Content[0]
	for _, ed := range edits {
		entry := ed.find(root)
		if entry == nil {
			return nil, eris.Wrapf(ErrUnknownName, "%q", ed.Name)
		}
		if !ed.change(entry) {
			return nil, eris.Wrapf(ErrUnchanged, "%q", ed.Name)
		}
	}
	if err := raiseVersion(root); err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	ec := yaml.NewEncoder(&buffer)
	ec.SetIndent(2)
	if err := ec.Encode(&dt); err != nil {
		return nil, eris.Wrap(err, "bundle: write the edited text")
	}
	return buffer.Bytes(), eris.Wrap(ec.Close(), "bundle: write the edited text")
}

func (ed Edit) find(root *yaml.Node) *yaml.Node {
	if ed.Target == DomainTarget {
		return named(field(root, "domains"), ed.Name)
	}
	if entry := named(field(root, "hosts"), ed.Name); entry != nil {
		return entry
	}
	services := field(root, "services")
	if services == nil {
		return nil
	}
	for _, sv := range services.Content {
		if entry := named(field(sv, "upstreams"), ed.Name); entry != nil {
			return entry
		}
	}
	return nil
}

// change sets or removes the flag of an entry and tells whether it differed.
func (ed Edit) change(entry *yaml.Node) bool {
	if ed.Out {
		return setFlag(entry, "out", "true")
	}
	return removeField(entry, "out")
}

func raiseVersion(root *yaml.Node) error {
	nd := field(root, "version")
	if nd == nil {
		return eris.New("bundle: the text to edit has no version")
	}
	number, err := strconv.ParseUint(nd.Value, 10, 62)
	if err != nil {
		return eris.New("bundle: the text to edit has no valid version")
	}
	nd.Value = strconv.FormatUint(number+1, 10)
	return nil
}

// field returns a mapping's value; nil when there is none.
func field(mapping *yaml.Node, name string) *yaml.Node {
	if mapping.Kind != yaml.MappingNode {
		return nil
	}
	for ix := 0; ix+1 < len(mapping.Content); ix += 2 {
		if mapping.Content[ix].Value == name {
			return mapping.Content[ix+1]
		}
	}
	return nil
}

// named returns the entry of a list that has this name.
func named(list *yaml.Node, name string) *yaml.Node {
	if list == nil {
		return nil
	}
	for _, entry := range list.Content {
		if nd := field(entry, "name"); nd != nil && nd.Value == name {
			return entry
		}
	}
	return nil
}

func setFlag(mapping *yaml.Node, name, value string) bool {
	if nd := field(mapping, name); nd != nil {
		changed := nd.Value != value
		nd.Value = value
		return changed
	}
	mapping.Content = append(mapping.Content,
		&yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: name},
		&yaml.Node{Kind: yaml.ScalarNode, Tag: "!!bool", Value: value})
	return true
}

func removeField(mapping *yaml.Node, name string) bool {
	for ix := 0; ix+1 < len(mapping.Content); ix += 2 {
		if mapping.Content[ix].Value == name {
			mapping.Content = append(mapping.Content[:ix], mapping.Content[ix+2:]...)
			return true
		}
	}
	return false
}
