package figures

import "testing"

func TestText(t *testing.T) {
	f := New([]string{"read", "sub"})
	f.Ended(0, OK)
	f.Ended(0, OK)
	f.Ended(1, Errors)
	f.Ended(2, OK)
	f.Ended(-1, OK)
	f.Tries.Add(3)
	f.Active.Add(1)
	f.Pool.Store(8)
	f.Ejected.Store(2)
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
