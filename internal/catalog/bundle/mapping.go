package bundle

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// mapping reads the fields of one YAML mapping strictly.
type mapping struct {
	reader *reader
	what   string
	node   *yaml.Node
	fields map[string]*yaml.Node
}

// mapping opens a node whose fields must be among the known ones.
func (rd *reader) mapping(nd *yaml.Node, what string, known ...string) *mapping {
	mp := &mapping{reader: rd, what: what, node: nd, fields: map[string]*yaml.Node{}}
	if nd.Kind != yaml.MappingNode {
		rd.add(nd, "write its fields as name: value", "%s is no mapping", what)
		return mp
	}
	for ix := 0; ix+1 < len(nd.Content); ix += 2 {
		key, value := nd.Content[ix], nd.Content[ix+1]
		_, twice := mp.fields[key.Value]
		switch {
		case !slices.Contains(known, key.Value):
			rd.add(key, "remove it or use one of "+strings.Join(known, ", "), "unknown field %q in %s", key.Value, what)
		case twice:
			rd.add(key, "keep one", "field %q stands twice in %s", key.Value, what)
		default:
			mp.fields[key.Value] = value
		}
	}
	return mp
}

// at is the place of a field, or of the mapping when the field is missing.
func (mp *mapping) at(field string) *yaml.Node {
	if nd := mp.fields[field]; nd != nil {
		return nd
	}
	return mp.node
}

func (mp *mapping) has(field string) bool {
	return mp.fields[field] != nil
}

// scalar returns a field's text; false when it is missing or no scalar.
func (mp *mapping) scalar(field, want string) (string, bool) {
	nd := mp.fields[field]
	if nd == nil {
		return "", false
	}
	if nd.Kind != yaml.ScalarNode || nd.Tag == "!!null" {
		mp.reader.add(nd, "write "+want, "%s in %s is no plain value", field, mp.what)
		delete(mp.fields, field)
		return "", false
	}
	return nd.Value, true
}

// require reports a missing field.
func (mp *mapping) require(field, remedy string) bool {
	if mp.has(field) || mp.node.Kind != yaml.MappingNode {
		return mp.has(field)
	}
	mp.reader.add(mp.node, remedy, "%s has no %s", mp.what, field)
	return false
}

// name reads a required name.
func (mp *mapping) name(field string) string {
	if !mp.require(field, "add "+field+": NAME") {
		return ""
	}
	text, ok := mp.scalar(field, "a name")
	if ok && !validName(text) {
		mp.reader.add(mp.at(field), "use up to 63 letters, digits, '.', '_' and '-', a letter or digit first",
			"%s %q in %s is no valid name", field, text, mp.what)
		return ""
	}
	return text
}

func validName(text string) bool {
	if text == "" || len(text) > maxNameBytes {
		return false
	}
	for ix, ch := range []byte(text) {
		alnum := ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch >= '0' && ch <= '9'
		if !alnum && (ix == 0 || !strings.ContainsRune("._-", rune(ch))) {
			return false
		}
	}
	return true
}

// count reads a required whole number from 1 to most.
func (mp *mapping) count(field string, most uint64) uint64 {
	if !mp.require(field, "add "+field+": a whole number of at least 1") {
		return 0
	}
	text, ok := mp.scalar(field, "a whole number")
	if !ok {
		return 0
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 || number > most {
		mp.reader.add(mp.at(field), "write a whole number from 1 to "+strconv.FormatUint(most, 10),
			"%s in %s is %q", field, mp.what, text)
		return 0
	}
	return number
}

// flag reads an optional true or false.
func (mp *mapping) flag(field string) bool {
	text, ok := mp.scalar(field, "true or false")
	if ok && text != "true" && text != "false" {
		mp.reader.add(mp.at(field), "write true or false", "%s in %s is %q", field, mp.what, text)
	}
	return text == "true"
}

// optionalDuration reads a time that may be left out.
func (mp *mapping) optionalDuration(field string) time.Duration {
	if !mp.has(field) {
		return 0
	}
	return mp.duration(field)
}

// duration reads a required time such as 1500ms or 2s.
func (mp *mapping) duration(field string) time.Duration {
	if !mp.require(field, "add "+field+": a time such as 2s") {
		return 0
	}
	text, ok := mp.scalar(field, "a time such as 2s")
	if !ok {
		return 0
	}
	dr, err := time.ParseDuration(text)
	if err != nil || dr <= 0 {
		mp.reader.add(mp.at(field), "write a time above zero such as 500ms or 2s", "%s in %s is %q", field, mp.what, text)
		return 0
	}
	return dr
}

// choice reads a field that must be one of a few words.
func (mp *mapping) choice(field string, words ...string) string {
	want := "one of " + strings.Join(words, ", ")
	if !mp.require(field, "add "+field+": "+want) {
		return ""
	}
	text, ok := mp.scalar(field, want)
	if ok && !slices.Contains(words, text) {
		mp.reader.add(mp.at(field), "write "+want, "%s in %s is %q", field, mp.what, text)
		return ""
	}
	return text
}

// forbid reports fields that have no meaning here.
func (mp *mapping) forbid(remedy string, fields ...string) {
	for _, field := range fields {
		if mp.has(field) {
			mp.reader.add(mp.at(field), remedy, "%s has no meaning in %s", field, mp.what)
		}
	}
}

// list returns the entries of a sequence field.
func (mp *mapping) list(field string) []*yaml.Node {
	nd := mp.fields[field]
	if nd == nil || nd.Kind == yaml.ScalarNode && nd.Tag == "!!null" {
		return nil
	}
	if nd.Kind != yaml.SequenceNode {
		mp.reader.add(nd, "write it as a list", "%s in %s is no list", field, mp.what)
		return nil
	}
	return nd.Content
}
