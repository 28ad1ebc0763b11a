package quarantine

import "testing"

// Guards against requests that are taken for one another, by a caller's choice of content
// too, and against a repeat that is taken for another request.
func TestIdentityOfARequest(t *testing.T) {
	base := Content{Method: "GET", Target: "/a?b", Organisation: "org", Body: []byte("body"), Pool: "pool", Parts: []string{"p"}}
	id := NewRequest("1", base).Whole
	if !id.IsWhole() || NewRequest("2", base).Whole != id {
		t.Error("a repeat is another request")
	}
	for name, change := range map[string]func(*Content){
		"method":       func(c *Content) { c.Method = "POST" },
		"target":       func(c *Content) { c.Target = "/a?c" },
		"organisation": func(c *Content) { c.Organisation = "other" },
		"body":         func(c *Content) { c.Body = []byte("other") },
		"boundary":     func(c *Content) { c.Target, c.Organisation = "/a?bo", "rg" },
	} {
		c := base
		change(&c)
		if NewRequest("1", c).Whole == id {
			t.Errorf("requests with another %s are the same", name)
		}
	}
	c := base
	c.Pool, c.Parts = "other", nil
	if NewRequest("1", c).Whole != id {
		t.Error("the pool belongs to a request")
	}
	for _, body := range [][]byte{base.Body, nil} {
		c.Body, c.Prompt = body, []string{"model", "x"}
		x := NewRequest("1", c).Whole
		c.Prompt = []string{"model", "y"}
		if NewRequest("1", c).Whole == x {
			t.Errorf("requests with body %q and other prompts are the same", body)
		}
	}
	if r := NewRequest("1", Content{Parts: []string{"a", "b", "c", "d"}}); r.Whole != 0 || r.Parts[3].IsWhole() {
		t.Errorf("parts only: %+v", r)
	}
}
