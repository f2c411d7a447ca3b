package report_test

import (
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"calicohill/internal/testbed/report"
)

// Guards against keys of reports that are not in snake_case, or have a unit that is neither last nor followed by "per".
func TestReportKeys(t *testing.T) {
	t.Parallel()
	snakeCase := regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)
	units := []string{"ms", "us", "ns", "kb", "bytes", "seconds", "share", "100ms"}
	var check func(typ reflect.Type)
	check = func(typ reflect.Type) {
		switch typ.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Map:
			check(typ.Elem())
			return
		case reflect.Struct:
		default:
			return
		}
		for _, field := range reflect.VisibleFields(typ) {
			if !field.IsExported() {
				continue
			}
			key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			if !snakeCase.MatchString(key) {
				t.Errorf("%s.%s: key %q is not in snake_case", typ.Name(), field.Name, key)
			}
			parts := strings.Split(key, "_")
			for i, part := range parts[:len(parts)-1] {
				if slices.Contains(units, part) && parts[i+1] != "per" {
					t.Errorf("%s.%s: key %q continues after the unit %s", typ.Name(), field.Name, key, part)
				}
			}
			check(field.Type)
		}
	}
	for _, result := range []report.Report{
		report.GossipResult{}, report.VirtualGossipResult{}, report.ColdStartResult{}, report.VirtualColdStartResult{}, report.MatchResult{},
	} {
		check(reflect.TypeOf(result))
	}
}
