"""The list of all specifications of the core protocol."""

from model.process import abstention, handover
from model.request import answer, booking
from model.version import adoption, drain, eras

SPECIFICATIONS = (
    booking.SPECIFICATION,
    answer.SPECIFICATION,
    handover.SPECIFICATION,
    adoption.SPECIFICATION,
    drain.SPECIFICATION,
    eras.SPECIFICATION,
    abstention.SPECIFICATION,
)
