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

// reader fills a struct from JSON with comments and collects all errors.
//
// encoding/json stops at the first error and reports no lines, so reader walks the syntax
// tree along with the struct type instead.
type reader struct {
	source []byte
	lineOf map[string]int // By path, for errors found by validate.
	errors SettingErrors
}

func newReader(text []byte) *reader {
	return &reader{source: text, lineOf: map[string]int{}}
}

func (r *reader) read(into any) {
	v, err := hujson.Parse(r.source)
	if err != nil {
		r.errors = append(r.errors, SettingError{Path: "file", Line: syntaxLine(err), Found: err.Error(), Wanted: "JSON with comments"})
		return
	}
	r.value("", v, reflect.ValueOf(into).Elem())
}

// syntaxLine returns the line that a hujson error names, 1 if it names none.
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

func (r *reader) lineNumber(v hujson.Value) int {
	return 1 + bytes.Count(r.source[:v.StartOffset], []byte{'\n'})
}

func (r *reader) addError(path string, v hujson.Value, wanted string) {
	found := string(r.source[v.StartOffset:v.EndOffset])
	if len(found) > maxQuotedText {
		found = found[:maxQuotedText] + "…"
	}
	if isSecret(path) {
		found = "a value of another type"
	}
	r.errors = append(r.errors, SettingError{Path: path, Line: r.lineNumber(v), Found: found, Wanted: wanted})
}

const maxQuotedText = 40

func (r *reader) value(path string, v hujson.Value, target reflect.Value) {
	r.lineOf[path] = r.lineNumber(v)
	if u, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		r.text(path, v, u)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		r.structure(path, v, target)
	case reflect.Slice:
		r.array(path, v, target)
	case reflect.Map:
		r.stringMap(path, v, target)
	default:
		r.literal(path, v, target)
	}
}

func (r *reader) text(path string, v hujson.Value, u encoding.TextUnmarshaler) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		r.addError(path, v, "a string")
		return
	}
	if err := u.UnmarshalText([]byte(lit.String())); err != nil {
		wanted := "an IP number and port such as \"127.0.0.1:8080\""
		var w formatError
		if errors.As(err, &w) {
			wanted = string(w)
		}
		r.addError(path, v, wanted)
	}
}

func (r *reader) structure(path string, v hujson.Value, into reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		r.addError(path, v, "an object")
		return
	}
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String() // Member names are literals.
		field, known := fieldBySettingName(into, name)
		at := strings.TrimPrefix(path+"."+name, ".")
		switch {
		case !known:
			r.addError(at, m.Name, "one of "+strings.Join(settingNames(into.Type()), ", "))
		case seen[name]:
			r.addError(at, m.Name, "no duplicate keys")
		default:
			r.value(at, m.Value, field)
		}
		seen[name] = true
	}
}

// stringMap reads an object with arbitrary keys and string values.
func (r *reader) stringMap(path string, v hujson.Value, into reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		r.addError(path, v, "an object")
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
		r.addError(path, v, "an array")
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
	r.addError(path, v, wanted)
}

func (r *reader) validate(s any) {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(settingName)
	var invalid validator.ValidationErrors
	if !errors.As(check.Struct(s), &invalid) {
		return
	}
	for _, e := range invalid {
		_, path, _ := strings.Cut(e.Namespace(), ".")
		found := fmt.Sprintf("%q", fmt.Sprint(e.Value()))
		line, written := r.lineOf[path]
		if !written {
			found = "nothing"
			parent, _, _ := strings.Cut(path, ".")
			line = max(1, r.lineOf[parent])
		}
		if isSecret(path) && written {
			found = "a shorter value"
		}
		r.errors = append(r.errors, SettingError{Path: path, Line: line, Found: found, Wanted: describeRule(e)})
	}
}

func isSecret(path string) bool { return path == "peer.key" || path == "operator.token" }

func describeRule(e validator.FieldError) string {
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

func settingName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func settingNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = settingName(t.Field(i))
	}
	return names
}

func fieldBySettingName(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if settingName(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}
