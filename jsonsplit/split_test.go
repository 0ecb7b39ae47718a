package jsonsplit

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func membersOf(data []byte) (map[string]string, error) {
	members := map[string]string{}
	err := EachMember(data, func(name, value []byte) error {
		members[string(name)] = string(value)
		return nil
	})
	return members, err
}

func elementsOf(data []byte) ([]string, error) {
	elements := []string{}
	err := EachElement(data, func(value []byte) error {
		elements = append(elements, string(value))
		return nil
	})
	return elements, err
}

// Values must be split where they end, whatever is in them, and nesting of any depth must not use up the stack.
func TestSplit(t *testing.T) {
	deep := strings.Repeat(`[{"a":`, 8<<20)
	for name, tt := range map[string]struct {
		text string
		want []string
	}{
		"none":                {"[]", []string{}},
		"white space":         {" [ 1 ,\n\t\"a\" , {} ] \r", []string{"1", `"a"`, "{}"}},
		"literals":            {"[true,false,null,-1.5e9]", []string{"true", "false", "null", "-1.5e9"}},
		"brackets in strings": {`["]","[{",{"}":"]"}]`, []string{`"]"`, `"[{"`, `{"}":"]"}`}},
		"escapes":             {`["\"]","\\","\\\"]"]`, []string{`"\"]"`, `"\\"`, `"\\\"]"`}},
		"deep":                {"[" + deep + strings.Repeat("}]", 8<<20) + ",1]", []string{deep + strings.Repeat("}]", 8<<20), "1"}},
		"wrong brackets":      {`[[},{"a":1]]`, []string{`[}`, `{"a":1]`}},
		"broken literal":      {`[tru,1]`, []string{"tru", "1"}},
		"empty":               {"", nil},
		"no array":            {"{}", nil},
		"not closed":          {"[1", nil},
		"deep, not closed":    {"[" + deep, nil},
		"string not closed":   {`["a]`, nil},
		"ends in an escape":   {`["a\`, nil},
		"escaped quotes":      {`["\"\"","\\\\\\"]`, []string{`"\"\""`, `"\\\\\\"`}},
		"more after the end":  {"[1]]", nil},
		"no comma":            {`[1 2]`, nil},
		"only a comma":        {"[,]", nil},
		"comma at the end":    {"[1,]", nil},
		"comma at the start":  {"[,1]", nil},
		"closing bracket":     {"[1,}]", nil},
		"colon":               {"[1:2]", nil},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := elementsOf([]byte(tt.text))
			if (err != nil) != (tt.want == nil) || err == nil && !slices.Equal(got, tt.want) {
				t.Errorf("%d elements, error %v", len(got), err)
			}
		})
	}
}

// Members must have their decoded names, and the last of several with the same name must come last.
func TestSplitMembers(t *testing.T) {
	is := is.New(t)
	got, err := membersOf([]byte(` { "a" : 1 , "\u0062" : [ 2 ] , "a" : {"a":3} } `))
	is.NoErr(err)
	is.Equal(got, map[string]string{"a": `{"a":3}`, "b": "[ 2 ]"})
	for _, text := range []string{"", "[]", "{", `{"a"}`, `{"a":}`, `{"a" 1}`, `{a:1}`, `{1:1}`, `{"a":1,}`, `{"a":1"b":2}`, `{"a":1}}`, `{"a":1}x`, `{"\q":1}`} {
		_, err := membersOf([]byte(text))
		is.True(err != nil)
	}
}

// Sound JSON must be split as encoding/json does it, and nothing may panic.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{
		`{"a":1,"b":[1,{"c":"}"}],"a":null}`, `[1,"]",[[]],{"a":[]}]`, ` [ ] `, `{}`, `"a"`, `7`, `{"\u0061\"":"\\"}`, "[\"\xff\"]", `[1,]`, `{"a":[}]}`, `{"A":1,"a":2}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		members, membersErr := membersOf(data)
		elements, elementsErr := elementsOf(data)
		if !json.Valid(data) {
			return
		}
		var object map[string]json.RawMessage
		if err := json.Unmarshal(data, &object); err == nil && object != nil {
			equal := func(value string, raw json.RawMessage) bool { return value == string(raw) }
			if membersErr != nil || !maps.EqualFunc(members, object, equal) {
				t.Errorf("members of %q: %q, error %v", data, members, membersErr)
			}
		} else if membersErr == nil {
			t.Errorf("%q has members %q", data, members)
		}
		var array []json.RawMessage
		if err := json.Unmarshal(data, &array); err == nil && array != nil {
			equal := func(value string, raw json.RawMessage) bool { return value == string(raw) }
			if elementsErr != nil || !slices.EqualFunc(elements, array, equal) {
				t.Errorf("elements of %q: %q, error %v", data, elements, elementsErr)
			}
		} else if elementsErr == nil {
			t.Errorf("%q has elements %q", data, elements)
		}
	})
}
