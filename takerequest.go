package chestnutcleat

// TakeRequest asks a customer's owner for tokens of its rate.
type TakeRequest struct {
	ID       RequestID  `json:"id"`
	Customer CustomerID `json:"customer"`
	Count    int        `json:"count"`
}
