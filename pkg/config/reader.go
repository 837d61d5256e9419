package config

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

// reader fills a struct from JSON with comments and collects every fault.
//
// encoding/json stops at the first fault and knows no lines, so the syntax
// tree is walked beside the type instead.
type reader struct {
	text   []byte
	lines  map[string]int // Path to line, for faults found after reading.
	faults SettingErrors
}

func newReader(text []byte) *reader {
	return &reader{text: text, lines: map[string]int{}}
}

func (r *reader) read(into any) {
	v, err := hujson.Parse(r.text)
	if err != nil {
		r.faults = append(r.faults, SettingError{Path: "file", Line: syntaxLine(err), Found: err.Error(), Wanted: "JSON with comments"})
		return
	}
	r.value("", v, reflect.ValueOf(into).Elem())
}

// syntaxLine takes the line out of a hujson error, 1 if it names none.
func syntaxLine(err error) int {
	line := 1
	for e := err; e != nil; e = errors.Unwrap(e) {
		var n, col int
		if _, scanErr := fmt.Sscanf(strings.TrimPrefix(e.Error(), "hujson: "), "line %d, column %d", &n, &col); scanErr == nil {
			line = n
		}
	}
	return line
}

func (r *reader) line(v hujson.Value) int {
	return 1 + bytes.Count(r.text[:v.StartOffset], []byte{'\n'})
}

func (r *reader) fault(path string, v hujson.Value, wanted string) {
	found := string(r.text[v.StartOffset:v.EndOffset])
	if len(found) > maxFoundText {
		found = found[:maxFoundText] + "…"
	}
	if isSecret(path) {
		found = "another type"
	}
	r.faults = append(r.faults, SettingError{Path: path, Line: r.line(v), Found: found, Wanted: wanted})
}

const maxFoundText = 40

func (r *reader) value(path string, v hujson.Value, into reflect.Value) {
	r.lines[path] = r.line(v)
	if u, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		r.textual(path, v, u)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		r.object(path, v, into)
	case reflect.Slice:
		r.array(path, v, into)
	case reflect.Map:
		r.table(path, v, into)
	default:
		r.literal(path, v, into)
	}
}

func (r *reader) textual(path string, v hujson.Value, u encoding.TextUnmarshaler) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		r.fault(path, v, "a string")
		return
	}
	if err := u.UnmarshalText([]byte(lit.String())); err != nil {
		wanted := "an IP number and port such as \"127.0.0.1:8080\""
		var w errWanted
		if errors.As(err, &w) {
			wanted = string(w)
		}
		r.fault(path, v, wanted)
	}
}

func (r *reader) object(path string, v hujson.Value, into reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		r.fault(path, v, "an object")
		return
	}
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String() // Member names are literals.
		field, known := fieldByJSONName(into, name)
		at := strings.TrimPrefix(path+"."+name, ".")
		switch {
		case !known:
			r.fault(at, m.Name, "one of "+strings.Join(jsonNames(into.Type()), ", "))
		case seen[name]:
			r.fault(at, m.Name, "each key once")
		default:
			r.value(at, m.Value, field)
		}
		seen[name] = true
	}
}

// table reads an object whose keys are free and whose values are strings.
func (r *reader) table(path string, v hujson.Value, into reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		r.fault(path, v, "an object")
		return
	}
	into.Set(reflect.MakeMapWithSize(into.Type(), len(obj.Members)))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String() // Member names are literals.
		value := reflect.New(into.Type().Elem()).Elem()
		r.value(path+"."+name, m.Value, value)
		into.SetMapIndex(reflect.ValueOf(name), value)
	}
}

func (r *reader) array(path string, v hujson.Value, into reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		r.fault(path, v, "an array")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(arr.Elements), len(arr.Elements)))
	for i, e := range arr.Elements {
		r.value(fmt.Sprintf("%s[%d]", path, i), e, into.Index(i))
	}
}

func (r *reader) literal(path string, v hujson.Value, into reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if ok && json.Unmarshal(lit, into.Addr().Interface()) == nil {
		return
	}
	wanted := map[reflect.Kind]string{
		reflect.String:  "a string",
		reflect.Bool:    "true or false",
		reflect.Int:     "a whole number",
		reflect.Float64: "a number",
	}[into.Kind()]
	r.fault(path, v, wanted)
}

func (r *reader) validate(s any) {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(jsonName)
	var invalid validator.ValidationErrors
	if !errors.As(check.Struct(s), &invalid) {
		return
	}
	for _, e := range invalid {
		_, path, _ := strings.Cut(e.Namespace(), ".")
		found := fmt.Sprintf("%q", fmt.Sprint(e.Value()))
		line, written := r.lines[path]
		if !written {
			found = "nothing"
			parent, _, _ := strings.Cut(path, ".")
			line = max(1, r.lines[parent])
		}
		if isSecret(path) && written {
			found = "a shorter one"
		}
		r.faults = append(r.faults, SettingError{Path: path, Line: line, Found: found, Wanted: wantedByTag(e)})
	}
}

func isSecret(path string) bool { return path == "peer.key" || path == "operator.token" }

func wantedByTag(e validator.FieldError) string {
	switch e.Tag() {
	case "required":
		return "a value"
	case "oneof":
		return "one of " + strings.ReplaceAll(e.Param(), " ", ", ")
	case "min":
		return "at least " + e.Param() + " characters"
	case "gt":
		return "more than " + e.Param()
	case "gte":
		return "at least " + e.Param()
	case "lte":
		return "at most " + e.Param()
	default:
		return e.Tag() + " " + e.Param()
	}
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func jsonNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = jsonName(t.Field(i))
	}
	return names
}

func fieldByJSONName(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if jsonName(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}
