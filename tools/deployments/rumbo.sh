# Rumbo in small: slots a tenth, rates a quarter of the real ones; instances as they are.
rate_divisor=4
services=(catalogue print-orders file-delivery previews)
declare -A instances=([catalogue]=5 [print-orders]=3 [file-delivery]=3 [previews]=3)
declare -A slots=([catalogue]=7 [print-orders]=9 [file-delivery]=9 [previews]=3)
declare -A connections=([catalogue]=50 [print-orders]=60 [file-delivery]=60 [previews]=30)
lookup='[{"path": "/catalogue/internal/maps"}]'
declare -A routes=(
    [catalogue]='[{"path": "/maps", "work_ms": 240}, {"path": "/internal/maps", "work_ms": 150}, {"path": "/front", "work_ms": 60}]'
    [print-orders]="[{\"path\": \"/orders\", \"work_ms\": 100, \"calls\": $lookup}]"
    [file-delivery]="[{\"path\": \"/files\", \"work_ms\": 150, \"calls\": $lookup}]"
    [previews]="[{\"path\": \"/courses\", \"work_ms\": 100, \"calls\": $lookup}]"
)
