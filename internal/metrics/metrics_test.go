package metrics

import (
	"bytes"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// The Prometheus library parses the text, also for a class name with characters that must be escaped.
func TestTextParsesAsPrometheusFormat(t *testing.T) {
	specialName := "a \"class\" \\ of\nits own"
	f := New([]string{specialName})
	f.CountResponse(0, Shed)
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(f.Text()))
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range families["svc_responses"].GetMetric() {
		if m.GetLabel()[0].GetValue() != specialName {
			t.Errorf("class %q", m.GetLabel()[0].GetValue())
		}
		if v := m.GetUntyped().GetValue(); (v == 1) != (m.GetLabel()[1].GetValue() == "shed") {
			t.Errorf("%v", m)
		}
	}
	if len(families) != 5 {
		t.Errorf("%d families", len(families))
	}
}

func TestText(t *testing.T) {
	f := New([]string{"read", "sub"})
	f.CountResponse(0, OK)
	f.CountResponse(0, OK)
	f.CountResponse(1, Errors)
	f.CountResponse(2, OK)
	f.CountResponse(-1, OK)
	f.Attempts.Add(3)
	f.Active.Add(1)
	f.PoolSize.Store(8)
	f.PoolEjected.Store(2)
	want := `svc_responses{kind="read",result="ok"} 2
svc_responses{kind="read",result="shed"} 0
svc_responses{kind="read",result="errors"} 0
svc_responses{kind="sub",result="ok"} 0
svc_responses{kind="sub",result="shed"} 0
svc_responses{kind="sub",result="errors"} 1
svc_tries 3
svc_active 1
svc_pool_size 8
svc_pool_ejected 2
`
	if got := string(f.Text()); got != want {
		t.Errorf("got\n%s", got)
	}
}
