package calltree

import "errors"

// Run plays one configuration to its end.
func Run(c Config) (Result, error) {
	if err := c.check(); err != nil {
		return Result{}, err
	}
	return Result{}, errors.New("calltree: not built yet")
}
