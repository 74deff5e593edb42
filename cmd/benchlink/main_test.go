package main

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/wire"
)

// open and lists are lines of a batch: they open instance 3, and define list 0 with one backend that is up.
const open = `{"msg":"OpenInstance","Agent":3,"RandomSeed":5,"Facts":{"Balancers":1,"Me":0,"TickMs":5,` +
	`"Profiles":[{"AimMs":400,"DeadlineMs":1500,"Worth":1,"Semantics":"once","WindowMs":0}],` +
	`"PolicyLimits":{"TryLimit":2},"Contract":{"ColdFrom":1}}}`
const lists = `{"msg":"DefineList","Sheet":0,"Items":[{"Backend":"10.0.0.1:80","Availability":"on"}]}
{"msg":"View","Agent":3,"How":"disk","Index":1,"Sheet":0}`

// batch returns a batch at the given time (milliseconds in decimal) with the given lines.
func batch(clock string, lines ...string) string {
	return "{\"msg\":\"Frame\",\"ClockMs\":" + clock + "}\n" + strings.Join(append(lines, ""), "\n") + "{\"msg\":\"End\"}\n"
}

func TestRun(t *testing.T) {
	const submit = `{"msg":"Submit","Agent":3,"Job":"d0","TierClass":0,"GraceMs":700}`
	const try = `{"msg":"Try","Agent":3,"Job":"d0","Backend":"10.0.0.1:80"}` + "\n"
	const eor = "{\"msg\":\"Eor\"}\n"
	ended := func(outcome, done string) string {
		return `{"msg":"Ended","Agent":3,"Job":"d0","Outcome":"` + outcome +
			`","WaitTimeMs":20,"Backend":"10.0.0.1:80","SendNo":0` + done + `}`
	}
	tests := []struct{ name, in, want string }{
		{"nothing", "", ""},
		{"an empty batch", batch("1"), eor},
		{"request is sent", batch("1", open, lists) + batch("6", submit), eor + try + eor},
		{"served", batch("1", open, lists, submit) + batch("26", ended("pass", `,"Ended":true`)), try + eor + eor},
		{"failed", batch("1", open, lists, submit) + batch("26", ended("fault", "")),
			try + eor + `{"msg":"DropRequest","Agent":3,"Job":"d0"}` + "\n" + eor},
		{"state is lost by a kill and start in one batch", batch("1", open, lists, submit) +
			batch("6", `{"msg":"Retire","Agent":3}`, open, lists) + batch("26", ended("fault", "")),
			try + eor + eor + eor},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			if err := run(strings.NewReader(tt.in), &out); err != nil {
				t.Fatal(err)
			}
			if out.String() != tt.want {
				t.Errorf("got\n%swant\n%s", out.String(), tt.want)
			}
		})
	}
}

func TestRunErrors(t *testing.T) {
	tests := []struct{ name, in, want string }{
		{"instance not open", batch("1", `{"msg":"Reminder","Agent":8,"Cookie":1}`), "line 2: instance 8 is not open"},
		{"invalid settings", batch("1", strings.Replace(open, `"Balancers":1`, `"Balancers":0`, 1)), "Balancers: 0"},
		{"broken line", batch("1", "{"), "line 2: "},
		{"reply before an error is not written", batch("1", open, lists, `{"msg":"Submit","Agent":3,"Job":"d0","TierClass":0,"GraceMs":700}`,
			`{"msg":"Reminder","Agent":8,"Cookie":1}`), "instance 8 is not open"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			err := run(strings.NewReader(tt.in), &out)
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one with %q", err, tt.want)
			}
			if out.Len() > 0 {
				t.Errorf("wrote %q", out.String())
			}
		})
	}
}

// A panic of the decision code is reported with its text, and benchlink keeps running.
func TestPanicIsReported(t *testing.T) {
	var out bytes.Buffer
	w := wire.NewWriter(&out)
	b := &wire.Batch{Events: []wire.Event{{Agent: 2, Event: balance.Request{ID: "x"}}}}
	broken := map[int]stepper{2: stepFunc(func(time.Duration, []balance.Event) []balance.Action { panic("no such thing") })}
	if err := answer(b, broken, w); err != nil {
		t.Fatal(err)
	}
	if err := w.End(); err != nil {
		t.Fatal(err)
	}
	want := `{"msg":"Broken","Agent":2,"Msg":"panic: no such thing"}` + "\n{\"msg\":\"Eor\"}\n"
	if out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

// stepFunc is a stepper that calls a function.
type stepFunc func(time.Duration, []balance.Event) []balance.Action

func (f stepFunc) Step(now time.Duration, e []balance.Event) []balance.Action { return f(now, e) }
