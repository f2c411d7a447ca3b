package pools

import (
	"calicohill/internal/rules/match"
	"calicohill/routing"
)

// The states of a worker as conditions read them.
const (
	stateServing  = "serving"
	stateDraining = "draining"
)

// The longest texts that conditions see, in bytes.
const (
	maxAttributeBytes = 64
	maxStateBytes     = 16
)

// Attributes is what a condition reads of a worker.
type Attributes struct {
	ID    string `expr:"id"`
	Model string `expr:"model"`
	Zone  string `expr:"zone"`
	Group int    `expr:"group"`
	State string `expr:"state"`
}

// Schema describes the fields of Attributes to the compiler of conditions and on the operators' page.
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
	Workers match.Expression // condition on a worker's attributes
}

// Route is the definition of a route in the operator's file.
type Route struct {
	match.Position
	Name  string
	Pools []match.Expression // names, the preferred first
}

// StateName returns a worker's state as conditions read it.
func StateName(s routing.WorkerState) string {
	if s == routing.Ready {
		return stateServing
	}
	return stateDraining
}
