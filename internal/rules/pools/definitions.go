package pools

import (
	"calicohill/internal/rules/match"
	"calicohill/routing"
)

// Values of Attributes.State.
const (
	stateServing  = "serving"
	stateDraining = "draining"
)

// Maximum lengths of attributes, in bytes.
const (
	maxAttributeBytes = 64
	maxStateBytes     = 16
)

// Attributes contains the properties of a worker that conditions can read.
type Attributes struct {
	ID    string `expr:"id"`
	Model string `expr:"model"`
	Zone  string `expr:"zone"`
	Group int    `expr:"group"`
	State string `expr:"state"`
}

// Schema declares the fields of Attributes for the compiler of conditions and for the operators' page.
var Schema = []match.Field{
	{Name: "id", Type: "text", MaxBytes: maxAttributeBytes, Help: "the worker's id in the list"},
	{Name: "model", Type: "text", MaxBytes: maxAttributeBytes, Help: "its model"},
	{Name: "zone", Type: "text", MaxBytes: maxAttributeBytes, Help: "its zone"},
	{Name: "group", Type: "number", Help: "its pod group"},
	{Name: "state", Type: "text", MaxBytes: maxStateBytes, Help: "serving or draining"},
}

// Pool is the definition of a pool in the operator's file.
type Pool struct {
	match.Position
	Name    string
	Workers match.Expression // condition on the Attributes of a worker
}

// Route is the definition of a route in the operator's file.
type Route struct {
	match.Position
	Name  string
	Pools []match.Expression // names, in order of preference
}

// StateName returns the value of Attributes.State for a worker state.
func StateName(s routing.WorkerState) string {
	if s == routing.Ready {
		return stateServing
	}
	return stateDraining
}
