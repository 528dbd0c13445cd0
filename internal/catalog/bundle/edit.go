package bundle

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
	"gopkg.in/yaml.v3"
)

var (
	// ErrUnknownName means that the bundle has no entry with the name in an edit.
	ErrUnknownName = eris.New("bundle: no entry of the requested kind has this name")
	// ErrUnchanged means that an entry is already as an edit would make it.
	ErrUnchanged = eris.New("bundle: the entry is already in this state")
)

// EntryKind is the kind of entry that an edit changes.
type EntryKind int

const (
	// HostEntry is an entry host or an upstream.
	HostEntry EntryKind = iota
	// DomainEntry is a failure domain.
	DomainEntry
)

// Edit takes a host, an upstream or a domain out of service or puts it back in.
type Edit struct {
	Kind EntryKind
	Name string
	// Out is the entry's new state: out of service if true, else in service.
	Out bool
}

// ApplyAll applies the edits to a bundle's YAML and increments its version. It
// keeps the comments and the order of the text. The error is ErrUnknownName or
// ErrUnchanged, wrapped with the name, if one of the edits can't be applied.
func ApplyAll(body []byte, edits []Edit) ([]byte, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(body, &doc); err != nil || len(doc.Content) == 0 {
		return nil, eris.New("bundle: the text to edit is not valid YAML or is empty")
	}
	root := doc.Content[0]
	for _, ed := range edits {
		entry := ed.findEntry(root)
		if entry == nil {
			return nil, eris.Wrapf(ErrUnknownName, "%q", ed.Name)
		}
		if !ed.setOut(entry) {
			return nil, eris.Wrapf(ErrUnchanged, "%q", ed.Name)
		}
	}
	if err := incrementVersion(root); err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	ec := yaml.NewEncoder(&buffer)
	ec.SetIndent(2)
	if err := ec.Encode(&doc); err != nil {
		return nil, eris.Wrap(err, "bundle: encode the edited text as YAML")
	}
	return buffer.Bytes(), eris.Wrap(ec.Close(), "bundle: encode the edited text as YAML")
}

// findEntry returns the YAML mapping of the edited entry, or nil.
func (ed Edit) findEntry(root *yaml.Node) *yaml.Node {
	if ed.Kind == DomainEntry {
		return findNamed(fieldValue(root, "domains"), ed.Name)
	}
	if entry := findNamed(fieldValue(root, "hosts"), ed.Name); entry != nil {
		return entry
	}
	services := fieldValue(root, "services")
	if services == nil {
		return nil
	}
	for _, sv := range services.Content {
		if entry := findNamed(fieldValue(sv, "upstreams"), ed.Name); entry != nil {
			return entry
		}
	}
	return nil
}

// setOut sets or removes the field out of an entry and reports whether this
// changed the entry's text.
func (ed Edit) setOut(entry *yaml.Node) bool {
	if ed.Out {
		return setField(entry, "out", "true")
	}
	return removeField(entry, "out")
}

// incrementVersion adds one to the version in the bundle's root mapping.
func incrementVersion(root *yaml.Node) error {
	nd := fieldValue(root, "version")
	if nd == nil {
		return eris.New("bundle: the text to edit has no version")
	}
	number, err := strconv.ParseUint(nd.Value, 10, 62)
	if err != nil {
		return eris.New("bundle: the version in the text to edit is not a valid number")
	}
	nd.Value = strconv.FormatUint(number+1, 10)
	return nil
}

// fieldValue returns the value of a field of a mapping, or nil if the node is
// not a mapping or doesn't have the field.
func fieldValue(mapping *yaml.Node, name string) *yaml.Node {
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

// findNamed returns the first entry of a list whose field name has the given
// value, or nil.
func findNamed(list *yaml.Node, name string) *yaml.Node {
	if list == nil {
		return nil
	}
	for _, entry := range list.Content {
		if nd := fieldValue(entry, "name"); nd != nil && nd.Value == name {
			return entry
		}
	}
	return nil
}

// setField sets a boolean field of a mapping and reports whether its text changed.
func setField(mapping *yaml.Node, name, value string) bool {
	if nd := fieldValue(mapping, name); nd != nil {
		changed := nd.Value != value
		nd.Value = value
		return changed
	}
	mapping.Content = append(mapping.Content,
		&yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: name},
		&yaml.Node{Kind: yaml.ScalarNode, Tag: "!!bool", Value: value})
	return true
}

// removeField removes a field of a mapping and reports whether it was there.
func removeField(mapping *yaml.Node, name string) bool {
	for ix := 0; ix+1 < len(mapping.Content); ix += 2 {
		if mapping.Content[ix].Value == name {
			mapping.Content = append(mapping.Content[:ix], mapping.Content[ix+2:]...)
			return true
		}
	}
	return false
}
